"""An HTTP server: cheroot in front of werkzeug's routing."""

import json
import math
import threading

from cheroot import wsgi
import werkzeug
from werkzeug import exceptions as http_errors
from werkzeug import routing

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel import verdict as verdicts

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16 << 10
STOP_TIMEOUT_S = 1.0
POLL_S = 0.5

REQUEST_ID = "Anvilwell-Request-Id"
VERDICT = "Anvilwell-Verdict"
REASON = "Anvilwell-Reason"

_REASONS_BY_STATUS = {
    404: reasons.Refusal.UNKNOWN_SERVICE,
    413: reasons.Refusal.BODY_TOO_LARGE,
}


def error_body(error, request_id=""):
    """Return the JSON-able body that tells a caller of `error`."""
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
    """Return the response that tells a caller of `error`."""
    response = json_response(error_body(error, request_id), error.status)
    response.headers[VERDICT] = str(error.verdict)
    response.headers[REASON] = str(error.reason)
    if request_id:
        response.headers[REQUEST_ID] = request_id
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(math.ceil(error.retry_after))
    return response


def json_response(body, status=200):
    """Return a response with `body` as JSON."""
    return werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )


def json_body(request, adapter):
    """Return the request's JSON body, checked by a pydantic `adapter`.

    Raises
    ------
    exceptions.BadRequest
        If the body is not JSON or not of the adapter's shape.
    """
    try:
        return adapter.validate_json(request.get_data())
    except ValueError as error:
        raise exceptions.BadRequest(f"body is not valid: {error}") from error


class WebServer(services.Service):
    """Serves HTTP on one address; handlers run on worker threads.

    A handler takes the werkzeug request and the rule's parameters and
    returns a werkzeug response. An ``AnvilwellError`` becomes an error
    response with its verdict.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 chooses a free one.
    threads : int
        Requests served at a time.
    queue : int
        Connections that may wait for a thread.
    max_body_bytes : int
        Size of a request's body above which it is refused.
    poll_s : float
        Seconds after which `close` is noticed at the latest.
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
        poll_s=POLL_S,
    ):
        self.name = name
        self._max_body_bytes = max_body_bytes
        self._rules = routing.Map()
        self._handlers_by_endpoint = {}
        self._server = wsgi.Server(
            (host, port),
            self._application,
            numthreads=threads,
            request_queue_size=queue,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.expiration_interval = poll_s
        self._thread = None

    @property
    def address(self):
        """The ``(host, port)`` that it listens on, once started."""
        return self._server.bind_addr[:2]

    def route(self, rule, handler, methods=("GET",)):
        """Serve `rule` (werkzeug syntax) by `handler`."""
        endpoint = f"{','.join(methods or ['ANY'])} {rule}"
        self._handlers_by_endpoint[endpoint] = handler
        self._rules.add(routing.Rule(rule, endpoint=endpoint, methods=methods))

    async def start(self, kernel):
        """Bind the address and begin to serve."""
        self.serve_in_thread()

    def serve_in_thread(self):
        """Bind the address and serve on a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=self.name, daemon=True
        )
        self._thread.start()

    async def stop(self):
        """Close the listener and the worker threads."""
        self.close()

    def close(self):
        """Close the listener and the worker threads; may block."""
        self._server.stop()
        if self._thread:
            self._thread.join()

    def _application(self, environ, start_response):
        request = werkzeug.Request(environ)
        request.max_content_length = self._max_body_bytes
        response = self._respond(request)
        return response(environ, start_response)

    def _respond(self, request):
        try:
            adapter = self._rules.bind_to_environ(request.environ)
            endpoint, params = adapter.match()
            return self._handlers_by_endpoint[endpoint](request, **params)
        except exceptions.AnvilwellError as error:
            counters.count_refusal(error.reason)
            return error_response(error)
        except http_errors.HTTPException as error:
            return self._http_error(error)

    def _http_error(self, error):
        code = error.code or 400
        reason = _REASONS_BY_STATUS.get(code, reasons.Refusal.BAD_REQUEST)
        refusal = exceptions.BadRequest(
            error.description or error.name,
            reason=reason,
            verdict=verdicts.Verdict.NOT_RUN,
        )
        refusal.status = code
        counters.count_refusal(reason)
        return error_response(refusal)
