"""The service ``configuration`` for documents from a folder."""

from anvilwell_kernel.documents import parser
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services

GENERATION = 1


class FolderConfiguration(services.Service):
    """Serves the documents that lay in a folder at the start.

    Parameters
    ----------
    folder : pathlib.Path
        Holds one ``*.ini`` for each service.
    """

    name = "configuration"

    def __init__(self, folder):
        parsed = [
            parser.parse(path.read_text(), str(path))
            for path in sorted(folder.glob("*.ini"))
        ]
        self._documents_by_service = {
            document.service.name: document for document in parsed
        }

    def document(self, service):
        """Return the typed document of `service`.

        Raises
        ------
        exceptions.NotFound
            If there is none.
        """
        try:
            return self._documents_by_service[service]
        except KeyError:
            raise exceptions.NotFound(f"no service {service!r}") from None

    def subscribe(self, callback):
        """Do nothing: these documents never change."""

    def generation(self, service):
        """Return the generation of the document of `service`."""
        return GENERATION

    def newest_generation(self, service):
        """Return the only generation there is."""
        return GENERATION

    def services(self):
        """Return the names of the services with a document."""
        return sorted(self._documents_by_service)

    async def record(self, service):
        """Refuse: a folder keeps no history."""
        raise _refusal()

    async def propose(self, service, text, **options):
        """Refuse: a folder is read once, at the start."""
        raise _refusal()


def _refusal():
    return exceptions.Refused(
        "this entry has its documents from [entry] documents; remove that"
        " setting to use the key-value service",
        reason=reasons.Refusal.NOT_CONFIGURED,
    )
