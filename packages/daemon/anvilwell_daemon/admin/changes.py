"""Service documents: list, show, change and history."""

import http

from anvilwell_kernel import documents
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web

MAX_ID_CHARS = 128
_STATUSES_BY_OUTCOME = {
    operators.Outcome.IN_FORCE: http.HTTPStatus.OK,
    operators.Outcome.REFUSED: http.HTTPStatus.CONFLICT,
    operators.Outcome.UNKNOWN: http.HTTPStatus.ACCEPTED,
}
_VERDICTS_BY_OUTCOME = {
    operators.Outcome.IN_FORCE: verdicts.Verdict.RAN,
    operators.Outcome.REFUSED: verdicts.Verdict.NOT_RUN,
    operators.Outcome.UNKNOWN: verdicts.Verdict.MAY_HAVE_RUN,
}


class Changes:
    """Handlers that use the service ``configuration``."""

    def __init__(self, bridge):
        self._bridge = bridge

    def routes(self):
        """Return ``(rule, handler, methods)`` of each route."""
        return (
            ("/admin/services", self.list_services, ("GET",)),
            ("/admin/services/<service>", self.show, ("GET",)),
            ("/admin/services/<service>", self.change, ("PUT",)),
            ("/admin/services/<service>/history", self.history, ("GET",)),
        )

    def list_services(self, request):
        """Answer `operators.Services`."""
        return web.json_response({"services": summaries(self._bridge)})

    def show(self, request, service):
        """Answer `operators.ServiceDocument`."""
        configuration = self._bridge.service("configuration")
        try:
            record = self._bridge.wait_for(configuration.record(service))
            generation, text = record.generation, record.text
        except exceptions.KeyValueUnavailable:
            # What this entry works under is right to show meanwhile.
            generation, text = self._from_memory(configuration, service)
        return web.json_response(
            operators.ServiceDocument(
                service=service, generation=generation, text=text
            )
        )

    def change(self, request, service):
        """Carry out a change and answer `operators.Applied`."""
        configuration = self._bridge.service("configuration")
        outcome = self._bridge.wait_for(
            configuration.propose(
                service,
                _text_of(request),
                change_id=_id_of(request),
                expected_generation=_generation_of(request),
                operator=request.args.get("operator", "")[:MAX_ID_CHARS],
            )
        )
        return answer(outcome)

    def history(self, request, service):
        """Answer `operators.History`."""
        configuration = self._bridge.service("configuration")
        record = self._bridge.wait_for(configuration.record(service))
        changes = [
            operators.Change(
                generation=change.generation,
                change_id=change.change_id,
                operator=change.operator,
                digest=change.digest,
            )
            for change in record.history
        ]
        return web.json_response(
            operators.History(service=service, changes=changes)
        )

    def _from_memory(self, configuration, service):
        document = self._bridge.run(configuration.document, service)
        generation = self._bridge.run(configuration.generation, service)
        return generation, documents.render(document)


def summaries(bridge):
    """Return an `operators.ServiceSummary` for each service."""
    configuration = bridge.service("configuration")
    names = bridge.run(configuration.services)
    return [_summary(bridge, configuration, name) for name in names]


def _summary(bridge, configuration, name):
    generation = bridge.run(configuration.newest_generation, name)
    try:
        kind = bridge.run(configuration.document, name).service.kind
    except exceptions.Refused as error:
        kind = str(error.reason)
    return operators.ServiceSummary(
        service=name, kind=kind, generation=generation
    )


def _text_of(request):
    try:
        return request.get_data().decode()
    except UnicodeDecodeError as error:
        raise exceptions.BadRequest(
            f"the document is not UTF-8: {error}"
        ) from error


def _id_of(request):
    change_id = request.args.get("change_id", "")
    if not 0 < len(change_id) <= MAX_ID_CHARS:
        raise exceptions.BadRequest(
            f"give change_id=..., 1 to {MAX_ID_CHARS} characters, unique to "
            "this change; repeat it only to repeat the change"
        )
    return change_id


def _generation_of(request):
    text = request.args.get("expected_generation")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise exceptions.BadRequest(
            "give expected_generation=N, the number that the change replaces"
        )
    return int(text)


def answer(outcome):
    """Return the HTTP response that tells an ``outcomes.Outcome``."""
    kind = operators.Outcome(outcome.outcome)
    response = web.json_response(
        operators.Applied(
            outcome=kind,
            generation=outcome.generation,
            change_id=outcome.change_id,
            problems=list(outcome.problems),
            missing=list(outcome.missing),
            reason=str(outcome.reason),
        ),
        _STATUSES_BY_OUTCOME[kind],
    )
    response.headers[web.VERDICT] = str(_VERDICTS_BY_OUTCOME[kind])
    return response
