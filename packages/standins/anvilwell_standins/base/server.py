"""An HTTP server with a record and scripted faults."""

import errno
import functools
import socket
import threading

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web
import werkzeug

from anvilwell_standins.base import faults
from anvilwell_standins.base import record as records

MAX_BODY_BYTES = 4 << 20
POLL_S = 0.05
STREAM_SHARE = 0.75
COMMON_FAULTS = (
    "down",
    "slow",
    "lost-before-effect",
    "lost-after-effect",
    "error-before-effect",
    "error-after-effect",
)


def dropped():
    """Return the error at which the server closes without an answer."""
    return ConnectionResetError(errno.ECONNRESET, "scripted fault")


class Dropped(werkzeug.Response):
    """An answer that is never given: the connection is closed."""

    def __call__(self, environ, start_response):
        """Let the server close the connection."""
        raise dropped()


class StandIn:
    """One outside system on one address.

    Subclasses call `route` for each call they serve and list the
    faults of their own in ``own_faults``.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 chooses a free one.
    record : record.Record, optional
        Where to keep what was seen.
    threads : int
        Calls and streams served at a time.
    """

    name = "standin"
    own_faults = ()

    def __init__(self, listen="127.0.0.1:0", *, record=None, threads=64):
        self.record = record or records.Record(self.name)
        self.faults = faults.Faults((*COMMON_FAULTS, *self.own_faults))
        self.stopped = threading.Event()
        self._threads = threads
        # Streams leave some threads to other calls.
        self.stream_limit = max(1, int(threads * STREAM_SHARE))
        self._routes = []
        self._epoch = 0
        self._lock = threading.Lock()
        self._reserved = _reserve(listen)
        self._bound = self._reserved.getsockname()
        self._web = None
        self._is_down = False
        self._outage = None
        self._back = threading.Event()
        self.immediate_by_kind = {"down": self._go_down}
        self.route("/faults", self._post_faults, ("POST",), guarded=False)
        self.route("/faults", self._get_faults, guarded=False)
        self.route("/faults", self._clear_faults, ("DELETE",), guarded=False)
        self.route("/record", self._get_record, guarded=False)

    @property
    def address(self):
        """The ``host:port`` that it listens on."""
        return "{}:{}".format(*self._bound)

    @property
    def url(self):
        """The base URL."""
        return f"http://{self.address}"

    def route(self, rule, handler, methods=("GET",), *, guarded=True):
        """Serve `rule` by `handler`, under the scripted faults."""
        if guarded:
            handler = functools.partial(self._guard, handler)
        self._routes.append((rule, handler, methods))

    def start(self):
        """Begin to serve, and return itself."""
        host, port = self._bound
        server = web.WebServer(
            host,
            port,
            name=self.name,
            threads=self._threads,
            max_body_bytes=MAX_BODY_BYTES,
            poll_s=POLL_S,
        )
        for rule, handler, methods in self._routes:
            server.route(rule, handler, methods)
        server.serve_in_thread()
        self._web = server
        self._is_down = False
        return self

    def close(self):
        """Cut all streams and stop."""
        self.stopped.set()
        self._back.set()
        self.cut_streams()
        if self._outage:
            self._outage.join()
        if self._web:
            self._web.close()
        self._reserved.close()

    def __enter__(self):
        """Begin to serve."""
        return self.start()

    def __exit__(self, *exc_info):
        """Stop."""
        self.close()

    def epoch(self):
        """Return a mark for `check_epoch`."""
        return self._epoch

    def check_epoch(self, epoch):
        """Cut the caller's stream if there was an outage since `epoch`.

        One that began while the listener was being closed is cut too.
        """
        if epoch != self._epoch or self._is_down or self.stopped.is_set():
            raise dropped()

    def cut_streams(self):
        """Cut every stream that checks its epoch."""
        with self._lock:
            self._epoch += 1

    def go_down(self, seconds):
        """Refuse connections for `seconds`, on a thread of its own.

        Calls that come until the listener is closed get no answer.
        """
        self._is_down = True
        self._back.clear()
        self._outage = threading.Thread(
            target=self._refuse_for, args=(seconds,), daemon=True
        )
        self._outage.start()

    def come_back(self):
        """End the outage at once, and wait until it serves again."""
        self._back.set()
        self._outage.join()

    def _refuse_for(self, seconds):
        self.cut_streams()
        self._web.close()
        self._back.wait(seconds)
        self.start()

    def _go_down(self, fault):
        self.go_down(fault.seconds)

    def _guard(self, handler, request, **params):
        try:
            return self._under_faults(handler, request, **params)
        except ConnectionResetError:
            return Dropped()

    def _under_faults(self, handler, request, **params):
        if self._is_down:
            raise dropped()
        call = f"{request.method} {request.path}"
        slow = self.faults.take("slow", call)
        if slow:
            self.stopped.wait(slow.seconds)
        if self.faults.take("lost-before-effect", call):
            raise dropped()
        if self.faults.take("error-before-effect", call):
            raise failed("scripted fault, before the effect")
        response = handler(request, **params)
        if self.faults.take("lost-after-effect", call):
            response.close()
            raise dropped()
        if self.faults.take("error-after-effect", call):
            response.close()
            raise failed("scripted fault, after the effect")
        return response

    def _post_faults(self, request):
        scripted = web.json_body(request, faults.FAULTS)
        self.faults.check(scripted)
        self.record.add("faults", kinds=[fault.kind for fault in scripted])
        for fault in scripted:
            act = self.immediate_by_kind.get(fault.kind)
            if act:
                act(fault)
            else:
                self.faults.add(fault)
        return self._get_faults(request)

    def _get_faults(self, request):
        pending = [fault._asdict() for fault in self.faults.pending()]
        return web.json_response(pending)

    def _clear_faults(self, request):
        self.faults.clear()
        return self._get_faults(request)

    def _get_record(self, request):
        return werkzeug.Response(
            self.record.encode(), content_type="application/jsonl"
        )


def failed(message):
    """Return a plain server error with nothing promised."""
    return exceptions.BackendFailed(
        message,
        reason=reasons.Refusal.BACKEND_FAILED,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _reserve(listen):
    """Return a bound socket that keeps the port during an outage."""
    host, _, port = listen.rpartition(":")
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, int(port)))
    return reserved
