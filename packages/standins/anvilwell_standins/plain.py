"""A plain service: idempotent look-ups and calls that are not."""

from anvilwell_kernel import exceptions
from anvilwell_kernel import web
import xxhash

from anvilwell_standins.base import server

_COMMANDS = ("notices", "changes")


class Plain(server.StandIn):
    """Answers look-ups, and runs notices and changes.

    Each run is recorded with its request id and idempotency key before
    the answer is sent, so the record is the truth of what ran.
    """

    name = "plain"

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.route("/<path:path>", self._look_up)
        for command in _COMMANDS:
            self.route(f"/{command}", self._run, ("POST",))

    def _look_up(self, request, path):
        self.record.add("lookup", request_id=_request_id(request), path=path)
        return web.json_response(
            {"path": path, "value": xxhash.xxh64_hexdigest(path.encode())}
        )

    def _run(self, request):
        body = request.get_data()
        if not body:
            raise exceptions.BadRequest("the body is empty")
        digest = xxhash.xxh64_hexdigest(body)
        self.record.add(
            "run",
            request_id=_request_id(request),
            key=request.headers.get("Idempotency-Key", ""),
            path=request.path,
            digest=digest,
        )
        return web.json_response({"accepted": digest}, 201)


def _request_id(request):
    return request.headers.get("X-Request-Id", "")
