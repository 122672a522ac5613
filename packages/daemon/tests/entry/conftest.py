"""An entry and agents in one process, on real sockets."""

import asyncio
import contextlib
import itertools
import socket
import threading

import pytest
import urllib3

from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent.backends import plain
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import dispatcher
from anvilwell_daemon.entry import documents
from anvilwell_daemon.entry import handlers
from anvilwell_daemon.entry import replicas
from anvilwell_daemon.entry import traces
from anvilwell_daemon.peers import listener
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import limits
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.messages import links
from anvilwell_kernel import services
from anvilwell_kernel import web
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import http_plain
from anvilwell_outside.ports import engine as engines

TIMEOUT_S = 20
MODEL = "planner-lm"
PLAIN = "stops-app"
DOCUMENTS = {
    MODEL: """[service]
name = planner-lm
kind = model
[model]
name = planner
version = 7
staleness_bound = 2
""",
    PLAIN: """[service]
name = stops-app
kind = plain
[calls]
non_idempotent = POST /notices
""",
}


class ScriptedEngine(engines.Engine):
    """Generates ``t0 t1 ...``; a script may stop or fail a place."""

    def __init__(self, script=None, version="7"):
        self.script = script or (lambda place: None)
        self.version = version
        self.started = []
        self.cancelled = threading.Event()
        self.produced = 0

    def load(self, *, timeout_s):
        return engines.Load(0, 0, 0.0, self.version)

    def generate(self, attempt_id, body, *, timeout_s):
        self.started.append(attempt_id)
        for place in range(body["max_tokens"]):
            self.script(place)
            self.produced += 1
            yield engines.Tokens(f"t{place} ", 1, self.version)
        yield engines.Finish("length", body["max_tokens"])

    def cancel(self, attempt_id, *, timeout_s):
        self.cancelled.set()

    def order(self, order, *, timeout_s):
        raise NotImplementedError

    def export_cache(self, attempt_id, *, timeout_s):
        raise NotImplementedError

    def import_cache(self, attempt_id, data, *, timeout_s):
        raise NotImplementedError

    def events(self, since, *, timeout_s):
        return []


class RawServer:
    """Runs a script for each accepted connection."""

    def __init__(self, script):
        self._script = script
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def close(self):
        self._socket.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(TIMEOUT_S)
            self._script(connection)


def read_request(connection):
    """Read one HTTP request and return its bytes."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


class Rig:
    """One entry and any agents on an event loop of their own."""

    def __init__(self, folder):
        for name, text in DOCUMENTS.items():
            (folder / f"{name}.ini").write_text(text)
        self._folder = folder
        self._numbers = itertools.count(1)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.kernels = []
        self.agents = []
        self.replicas = None
        self.dispatcher = None
        self.callers = None
        self.traces = None
        self.server = None

    def run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(TIMEOUT_S)

    def engine_agent(self, engine, **kwargs):
        return self._agent(MODEL, model.ModelBackend(engine), **kwargs)

    def plain_agent(self, address, **kwargs):
        adapter = http_plain.HttpPlain(http_client.HttpClient(address))
        return self._agent(PLAIN, plain.PlainBackend(adapter), **kwargs)

    def _agent(self, service, backend, capacity=4, max_queue=4):
        number = next(self._numbers)
        accepts = listener.Listener("127.0.0.1", 0)
        bounds = limits.LimitBounds(capacity, min(2, capacity), capacity)
        agent = agents.Agent(
            links.Hello(f"agent-{number}", "agent", service, "a", number),
            backend,
            admission.Admission(
                admission.AdmissionSettings(max_queue, 0.0, bounds)
            ),
            clocks.SystemClock(),
        )
        kernel = services.Kernel([accepts, agent])
        self.run(kernel.start())
        self.kernels.append(kernel)
        self.agents.append(agent)
        agent.address = accepts.address
        agent.kernel = kernel
        return agent

    def start_entry(self, *, addresses=None, threads=8):
        clock = clocks.SystemClock()
        if addresses is None:
            addresses = [agent.address for agent in self.agents]
        self.replicas = replicas.Replicas(
            links.Hello("entry-1", "entry", "", "a", 1), addresses
        )
        self.dispatcher = dispatcher.Dispatcher(clock)
        self.callers = handlers.Callers(64)
        self.traces = traces.Traces(clock, 100)
        self.server = web.WebServer("127.0.0.1", 0, threads=threads)
        kernel = services.Kernel(
            [
                self.server,
                self.replicas,
                self.traces,
                documents.FolderConfiguration(self._folder),
                self.dispatcher,
                self.callers,
            ]
        )
        self.run(kernel.start())
        self.kernels.insert(0, kernel)
        self.until(
            lambda: (
                sum(
                    candidate.load is not None
                    and bool(candidate.load.version or service == PLAIN)
                    for service in DOCUMENTS
                    for candidate in self.replicas.candidates(service)
                )
                == len(self.agents)
            )
        )
        return kernel

    def until(self, condition):
        async def wait():
            async with asyncio.timeout(TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(0.005)

        self.run(wait())

    def request(self, method, path, **kwargs):
        host, port = self.server.address
        return urllib3.request(
            method,
            f"http://{host}:{port}{path}",
            retries=False,
            timeout=TIMEOUT_S,
            **kwargs,
        )

    def complete(self, max_tokens=5, **kwargs):
        body = {"model": MODEL, "prompt": "p", "max_tokens": max_tokens}
        headers = kwargs.pop("headers", None)
        return self.request(
            "POST",
            "/v1/completions",
            json={**body, **kwargs},
            headers=headers,
        )

    def call(self, **changes):
        call = calls.Call(
            request_id="r1",
            service=PLAIN,
            body=b"",
            deadline_s=TIMEOUT_S,
            method="GET",
            path="/lookup",
            is_model=False,
        )
        return call._replace(**changes)

    def stop(self):
        for kernel in self.kernels:
            self.run(kernel.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path)
    yield made
    made.stop()


@pytest.fixture
def raw_server():
    servers = []

    def make(script):
        server = RawServer(script)
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.close()


@pytest.fixture
def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        host, port = closed.getsockname()
    return f"{host}:{port}"


@pytest.fixture
def read_http():
    return read_request


@pytest.fixture
def scripted_engine():
    return ScriptedEngine
