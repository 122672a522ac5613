"""The service ``callers``: the callers' HTTP interface."""

import asyncio
import contextlib
import http
import threading
import typing

import pydantic
import typing_extensions
import werkzeug

from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import completions
from anvilwell_daemon.links import headers as header_rules
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web

DEADLINE = "Anvilwell-Deadline-Ms"
PRIORITY = "Anvilwell-Priority"
TEAM = "Anvilwell-Team"
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_DEADLINE_MS = 86_400_000
MAX_KEY_CHARS = 256
PREFIX_CHARS = 256
DRAIN_POLL_S = 0.02
ANY_METHOD = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_LOG = logs.get_logger(__name__)


class Completion(typing_extensions.TypedDict):
    """What the entry reads of a completions body."""

    model: typing.Annotated[str, pydantic.Field(min_length=1)]
    prompt: typing_extensions.NotRequired[typing.Any]
    stream: typing_extensions.NotRequired[bool]


_COMPLETION = pydantic.TypeAdapter(Completion)
_CALL_HEADERS = frozenset(
    name.lower() for name in (DEADLINE, PRIORITY, TEAM, IDEMPOTENCY_KEY)
)


class Callers(services.Service):
    """Serves completions and calls of plain services.

    Parameters
    ----------
    max_streams : int
        Requests under way at a time; more are refused.
    """

    name = "callers"
    # Not the web server: it opens once the routes are there.
    needs = ("dispatcher", "configuration", "traces")

    def __init__(self, max_streams):
        self._max_streams = max_streams
        self._lock = threading.Lock()
        self._in_flight = set()
        self._draining = False
        self._dispatcher = None
        self._configuration = None
        self._traces = None
        self._claims = None

    @property
    def in_flight(self):
        """The ids of the requests that are under way."""
        with self._lock:
            return sorted(self._in_flight)

    async def start(self, kernel):
        """Register the routes."""
        self._dispatcher = kernel.get("dispatcher")
        self._configuration = kernel.get("configuration")
        self._traces = kernel.get("traces")
        if kernel.has("claims"):
            self._claims = kernel.get("claims")
        server = kernel.get("web")
        server.route(calls.COMPLETIONS_PATH, self._complete, ("POST",))
        for rule in ("/services/<service>/", "/services/<service>/<path:_>"):
            server.route(rule, self._pass, ANY_METHOD)

    async def drain(self):
        """Refuse new requests; wait for those under way."""
        self._draining = True
        while self.in_flight:
            await asyncio.sleep(DRAIN_POLL_S)

    def is_ready(self):
        """Return whether new requests are taken."""
        return not self._draining

    def _complete(self, request):
        return self._serve(request, self._completion)

    def _pass(self, request, service, _=""):
        return self._serve(request, self._plain, service)

    def _serve(self, request, handler, *args):
        request_id = web.request_id(request)
        action = _LOG.action("request", request_id=request_id)
        with action.context():
            try:
                self._enter(request_id)
                response = handler(request, request_id, *args)
            except exceptions.AnvilwellError as error:
                response = self._refuse(error, request_id)
            except Exception:
                self._leave(request_id, action)
                raise
        response.headers[web.REQUEST_ID] = request_id
        response.call_on_close(lambda: self._leave(request_id, action))
        if _is_bodiless(request, response):
            # werkzeug drops the iterable of such a response unclosed.
            response.close()
        return response

    def _enter(self, request_id):
        if self._draining:
            raise exceptions.Refused(
                "this entry is shutting down",
                reason=reasons.Refusal.DRAINING,
                retry_after=0.1,
            )
        with self._lock:
            if len(self._in_flight) >= self._max_streams:
                raise exceptions.Refused(
                    "this entry has too many requests under way",
                    retry_after=1.0,
                )
            self._in_flight.add(request_id)
        self._traces.note(request_id, "arrived")

    def _leave(self, request_id, action):
        with self._lock:
            self._in_flight.discard(request_id)
        action.finish()

    def _refuse(self, error, request_id, service=""):
        counters.count_refusal(error.reason, service)
        self._traces.note(
            request_id,
            "refused",
            verdict=str(error.verdict),
            reason=str(error.reason),
            message=error.message,
        )
        return web.error_response(error, request_id)

    def _completion(self, request, request_id):
        body = web.json_body(request, _COMPLETION)
        document = self._configuration.document(body["model"])
        if document.service.kind != "model":
            raise exceptions.NotFound(f"{body['model']!r} is no model")
        call = _call(request, request_id, body["model"], document)
        call = call._replace(
            generation=self._generation(call.service),
            prefix=str(body.get("prompt", ""))[:PREFIX_CHARS],
        )
        answer = self._dispatcher.open(call)
        if body.get("stream", False):
            return self._stream(call, answer)
        whole = completions.collect(answer)
        self._note_whole(call, answer)
        return web.json_response(
            completions.body(request_id, call.service, whole)
        )

    def _stream(self, call, answer):
        response = werkzeug.Response(
            self._events(call, answer), content_type=completions.EVENT_STREAM
        )
        response.call_on_close(answer.close)
        response.headers["Cache-Control"] = "no-store"
        return response

    def _events(self, call, answer):
        with contextlib.closing(answer):
            try:
                for piece in answer:
                    yield completions.piece_event(piece)
            except exceptions.AnvilwellError as error:
                self._refuse(error, call.request_id, call.service)
                yield completions.error_event(error, call.request_id)
                return
            yield completions.finish_event(answer.finish)
            yield completions.DONE
        self._note_whole(call, answer)

    def _plain(self, request, request_id, service):
        document = self._configuration.document(service)
        if document.service.kind != "plain":
            raise exceptions.NotFound(f"{service!r} is no plain service")
        path = _path_below(request, service)
        idempotent = document.calls.is_idempotent(request.method, path)
        call = _call(request, request_id, service, document)._replace(
            method=request.method,
            path=path,
            headers=_forwarded_headers(request),
            idempotent=idempotent,
            is_model=False,
            generation=self._generation(service),
        )
        return self._forward(call)

    def _forward(self, call):
        opener = self._dispatcher
        if self._claims and not call.idempotent:
            opener = self._claims
        answer = opener.open(call)
        response = werkzeug.Response(
            self._body(call, answer), status=answer.status
        )
        response.call_on_close(answer.close)
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name, value)
        if answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._mark_server_error(call, response)
        return response

    def _mark_server_error(self, call, response):
        """Say that a backend server's own error may follow an effect."""
        reason = reasons.Refusal.BACKEND_FAILED
        counters.count_refusal(reason, call.service)
        response.headers[web.VERDICT] = str(verdicts.Verdict.MAY_HAVE_RUN)
        response.headers[web.REASON] = str(reason)

    def _body(self, call, answer):
        with contextlib.closing(answer):
            for piece in answer:
                yield piece.data
        self._note_whole(call, answer)

    def _note_whole(self, call, answer):
        self._traces.note(
            call.request_id,
            "answered",
            service=call.service,
            replica=answer.replica_id,
        )

    def _generation(self, service):
        return self._configuration.generation(service)


def _is_bodiless(request, response):
    status = response.status_code
    return request.method == "HEAD" or status < 200 or status in (204, 304)


def _call(request, request_id, service, document):
    return calls.Call(
        request_id=request_id,
        service=service,
        body=request.get_data(),
        deadline_s=_deadline_s(request, document),
        priority=_priority(request),
        key=_key(request),
        team=request.headers.get(TEAM, ""),
    )


def _deadline_s(request, document):
    text = request.headers.get(DEADLINE)
    if text is None:
        return document.traffic.deadline_s
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise exceptions.BadRequest(
            f"{DEADLINE} must be whole milliseconds from 1 to"
            f" {MAX_DEADLINE_MS}"
        )
    return int(text) / 1000


def _priority(request):
    priority = request.headers.get(PRIORITY, calls.LIVE)
    if priority not in (calls.LIVE, calls.TRAINING):
        raise exceptions.BadRequest(
            f"{PRIORITY} must be {calls.LIVE} or {calls.TRAINING}"
        )
    return priority


def _key(request):
    key = request.headers.get(IDEMPOTENCY_KEY, "")
    if len(key) > MAX_KEY_CHARS:
        raise exceptions.BadRequest(
            f"{IDEMPOTENCY_KEY} is longer than {MAX_KEY_CHARS} characters"
        )
    return key


def _path_below(request, service):
    raw = request.environ.get("REQUEST_URI") or request.full_path
    prefix = f"/services/{service}"
    path = raw.partition(prefix)[2]
    return path or "/"


def _forwarded_headers(request):
    return tuple(
        (name, value)
        for name, value in header_rules.end_to_end(request.headers.items())
        if name.lower() not in _CALL_HEADERS
    )
