"""Documents as text and as typed data."""

from anvilwell_decisions.configuration import exchange
from anvilwell_kernel import documents
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons


class Texts:
    """Checks and parses documents; remembers the last of each service."""

    def __init__(self):
        self._parsed_by_service = {}

    def problems(self, service, text):
        """Return all problems of `text` as lines for people."""
        size = len(text.encode())
        if size > exchange.MAX_DOCUMENT_BYTES:
            limit = exchange.MAX_DOCUMENT_BYTES
            return [f"{service}: {size} bytes; keep it under {limit}"]
        try:
            parsed = documents.parse(text, service)
        except exceptions.ConfigurationError as error:
            return [str(one) for one in error.problems] or [error.message]
        if parsed.service.name != service:
            name = parsed.service.name
            return [
                f"{service} [service] name: is {name}; write name = {service}"
            ]
        return []

    def parse(self, document):
        """Return the typed document of a ``messages.Document``."""
        sequence, parsed = self._parsed_by_service.get(
            document.service, (None, None)
        )
        if sequence != document.sequence:
            parsed = documents.parse(document.text, document.service)
            self._parsed_by_service[document.service] = (
                document.sequence,
                parsed,
            )
        return parsed

    def with_version(self, document, version):
        """Return the text of `document` with another weight version.

        Raises
        ------
        exceptions.Conflict
            If the service has no model or is further already.
        """
        parsed = self.parse(document)
        if parsed.model is None:
            raise exceptions.Conflict(f"{document.service} has no model")
        if not version.isdecimal():
            raise exceptions.BadRequest(
                "give the version's number, such as 7",
                reason=reasons.Refusal.BAD_REQUEST,
            )
        if int(version) < int(parsed.model.version):
            raise exceptions.Conflict(
                f"{document.service} is at version {parsed.model.version}; "
                "to go back, change its document"
            )
        if int(version) == int(parsed.model.version):
            return document.text
        return documents.set_version(document.text, version, document.service)
