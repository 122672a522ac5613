"""An HTTP server made of cheroot and werkzeug's routing."""

import http
import json
import math
import threading
import time
import uuid

import werkzeug
from werkzeug import exceptions as http_errors
from werkzeug import routing
from werkzeug import wsgi

from anvilwell_kernel import bodies
from anvilwell_kernel import exceptions
from anvilwell_kernel import in_flight
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel import strict_http
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16 << 10
READ_LIMIT_S = 30.0
STOP_TIMEOUT_S = 1.0
DRAIN_RETRY_AFTER_S = 1.0
POLL_S = 0.1
OVERLOAD_RETRY_AFTER_S = 1.0
MAX_KEEP_ALIVE_CONNECTIONS = 256

REQUEST_ID = "Anvilwell-Request-Id"
VERDICT = "Anvilwell-Verdict"
REASON = "Anvilwell-Reason"

_LOG = logs.get_logger(__name__)
_REQUEST_ID_KEY = "anvilwell.request_id"
_REASONS_BY_STATUS = {
    404: reasons.Refusal.UNKNOWN_SERVICE,
    408: reasons.Refusal.DEADLINE,
    413: reasons.Refusal.BODY_TOO_LARGE,
    503: reasons.Refusal.OVERLOADED,
}


def error_body(error, request_id=""):
    """Return the body of the error response for `error`, as a dict."""
    return {
        "error": {
            "verdict": str(error.verdict),
            "reason": str(error.reason),
            "message": error.message,
            "request_id": request_id,
            "retry_after_s": error.retry_after,
        }
    }


def error_response(error, request_id=""):
    """Return the error response for `error`."""
    response = json_response(error_body(error, request_id), error.status)
    response.headers[VERDICT] = str(error.verdict)
    response.headers[REASON] = str(error.reason)
    if request_id:
        response.headers[REQUEST_ID] = request_id
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(math.ceil(error.retry_after))
    return response


def json_response(body, status=200):
    """Return a response with `body` serialised as JSON."""
    return werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )


def json_body(request, adapter):
    """Return the request's JSON body, validated by a pydantic `adapter`.

    Raises
    ------
    exceptions.BadRequest
        If the body is not JSON or does not match the adapter's type.
    """
    try:
        return adapter.validate_json(request.get_data())
    except ValueError as error:
        raise exceptions.BadRequest(f"body is not valid: {error}") from error


def request_id(request):
    """Return the id that the server assigned to `request`.

    An id that the caller sent is ignored, because two callers could choose
    the same.
    """
    return request.environ[_REQUEST_ID_KEY]


class WebServer(services.Service):
    """Serves HTTP on one address and runs handlers on worker threads.

    A handler takes the werkzeug request and the rule's parameters and
    returns a werkzeug response. An ``AnvilwellError`` becomes an error
    response with its verdict; every response carries a request id.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 chooses a free one.
    threads : int
        Number of worker threads, which is the number of requests that are
        served at the same time.
    queue : int
        Number of connections that may wait for a thread; further ones are
        refused.
    max_body_bytes, max_header_bytes : int
        Maximum sizes of a request's body and head; larger requests are
        refused.
    read_limit_s : float
        Maximum time that a client may take to send a request.
    poll_s : float
        Interval at which the server checks whether it was closed.
    needs : iterable of str
        Names of the services that must be started before this one.
    """

    def __init__(
        self,
        host,
        port,
        *,
        name="web",
        threads=32,
        queue=128,
        max_body_bytes=MAX_BODY_BYTES,
        max_header_bytes=MAX_HEADER_BYTES,
        read_limit_s=READ_LIMIT_S,
        poll_s=POLL_S,
        needs=(),
    ):
        self.name = name
        self.needs = needs
        self._max_body_bytes = max_body_bytes
        self._rules = routing.Map()
        self._handlers_by_endpoint = {}
        self._while_draining = set()
        self._in_flight = in_flight.InFlight()
        self._server = strict_http.Server(
            (host, port),
            self._application,
            refuse=_render_refusal,
            read_limit_s=read_limit_s,
            numthreads=threads,
            request_queue_size=queue,
            accepted_queue_size=queue,
            accepted_queue_timeout=0,
        )
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.expiration_interval = poll_s
        self._thread = None

    @property
    def address(self):
        """The ``(host, port)`` that the server listens on, once started."""
        return self._server.bind_addr[:2]

    def route(self, rule, handler, methods=("GET",), *, while_draining=False):
        """Register `handler` for `rule`, which has werkzeug's syntax.

        With `while_draining`, the rule is also served during the drain.
        """
        endpoint = f"{','.join(methods or ['ANY'])} {rule}"
        self._handlers_by_endpoint[endpoint] = handler
        self._rules.add(routing.Rule(rule, endpoint=endpoint, methods=methods))
        if while_draining:
            self._while_draining.add(endpoint)

    async def start(self, kernel):
        """Bind the address and start serving."""
        self.serve_in_thread()

    def serve_in_thread(self):
        """Bind the address and serve on a separate thread."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=self.name, daemon=True
        )
        self._thread.start()

    async def drain(self):
        """Refuse new requests and wait for those in flight to end."""
        await self._in_flight.drain()

    async def stop(self):
        """Close the listener and stop the worker threads."""
        self.close()

    def close(self):
        """Close the listener and stop the worker threads; blocks."""
        self._server.stop()
        if self._thread:
            self._thread.join()

    def _application(self, environ, start_response):
        begun = time.monotonic()
        environ[_REQUEST_ID_KEY] = uuid.uuid4().hex
        environ["wsgi.input"] = bodies.CheckedBody(environ["wsgi.input"])
        request = werkzeug.Request(environ)
        request.max_content_length = self._max_body_bytes
        self._in_flight.enter()
        try:
            endpoint, response = self._respond(request)
            response.headers.setdefault(REQUEST_ID, request_id(request))
            chunks = response(environ, start_response)
        except BaseException:
            self._in_flight.leave()
            raise
        duration_s = time.monotonic() - begun
        counters.record_response(endpoint, response.status_code, duration_s)
        return wsgi.ClosingIterator(chunks, self._in_flight.leave)

    def _respond(self, request):
        endpoint = ""
        try:
            adapter = self._rules.bind_to_environ(request.environ)
            endpoint, params = adapter.match()
            self._check_draining(endpoint)
            handler = self._handlers_by_endpoint[endpoint]
            return endpoint, handler(request, **params)
        except exceptions.AnvilwellError as error:
            refusal = error
        except http_errors.HTTPException as error:
            refusal = _error_from_status(
                error.code or 400, _description_of(error)
            )
        except Exception as error:
            refusal = _error_from_exception(error)
        counters.count_refusal(refusal.reason)
        return endpoint, error_response(refusal, request_id(request))

    def _check_draining(self, endpoint):
        is_exempt = endpoint in self._while_draining
        if self._in_flight.is_draining and not is_exempt:
            raise exceptions.Refused(
                "this entry is shutting down; send the request to another",
                reason=reasons.Refusal.DRAINING,
                retry_after=DRAIN_RETRY_AFTER_S,
            )


def _description_of(error):
    return error.description or error.name


def _error_from_status(code, message):
    reason = _REASONS_BY_STATUS.get(code, reasons.Refusal.BAD_REQUEST)
    refusal = exceptions.BadRequest(message, reason=reason)
    refusal.status = code
    return refusal


def _error_from_exception(error):
    _LOG.log("fault", error=repr(error))
    return exceptions.AnvilwellError(
        "internal error; see the log of this process",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _render_refusal(code, message):
    status = http.HTTPStatus(code)
    refusal = _error_from_status(code, message or status.phrase)
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        refusal.retry_after = OVERLOAD_RETRY_AFTER_S
    counters.count_refusal(refusal.reason)
    response = error_response(refusal, uuid.uuid4().hex)
    line = f"{code} {status.phrase}".encode()
    return line, response.headers.items(), response.get_data()
