"""A fake of an entry's admin interface."""

import contextlib
import errno

import pytest
import werkzeug

from anvilwell_client import commands
from anvilwell_kernel import commandline
from anvilwell_kernel import documents
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators
from anvilwell_kernel import web

ACCEPT = "fine"


class FakeStore:
    """Documents and history shared by all entries of a test."""

    def __init__(self):
        self.texts = [""]
        self.changes = []

    def put(self, change_id, text, operator="ana"):
        self.texts.append(text)
        self.changes.append(
            operators.Change(
                generation=len(self.changes) + 1,
                change_id=change_id,
                operator=operator,
                digest=documents.digest(text)[:8],
            )
        )


class FakeEntry:
    """Serves a `FakeStore`; `script` lists the result of each PUT in turn."""

    def __init__(self, store):
        self.store = store
        self.script = []
        self.puts = []
        self.token = ""
        self.server = web.WebServer("127.0.0.1", 0)
        self._add_routes()
        self.server.serve_in_thread()

    @property
    def flag(self):
        host, port = self.server.address
        return f"--entry={host}:{port}"

    def _add_routes(self):
        route = self.server.route
        route("/admin/services/<service>", self._show)
        route("/admin/services/<service>", self._put, ("PUT",))
        route("/admin/services/<service>/history", self._history)
        route("/admin/status", self._status)
        route("/admin/drain/<vm_id>", self._drain, ("POST",))
        route("/admin/versions/<service>", self._versions)
        route("/admin/explain/<request_id>", self._explain)

    def _show(self, request, service):
        return web.json_response(
            operators.ServiceDocument(
                service=service,
                generation=len(self.store.changes),
                text=self.store.texts[-1],
            )
        )

    def _history(self, request, service):
        changes = self.store.changes
        return web.json_response(
            operators.History(service=service, changes=changes)
        )

    def _put(self, request, service):
        self.puts.append(request.args["change_id"])
        step = self.script.pop(0) if self.script else ACCEPT
        if step == "refuse":
            raise exceptions.Refused("no answer from key-value service")
        if step in ("lose before", "unknown"):
            return (
                self._break_response()
                if step == "lose before"
                else self._applied(step)
            )
        if step == "members missing":
            return self._applied("refused", "members-missing", ["agent-3"])
        return self._accept(request, step)

    def _accept(self, request, step):
        wanted = int(request.args["expected_generation"])
        if wanted != len(self.store.changes):
            return self._applied("refused", "conflict")
        text = request.get_data(as_text=True)
        self.store.put(
            request.args["change_id"], text, request.args["operator"]
        )
        if step == "lose after":
            return self._break_response()
        return self._applied("in-force")

    def _break_response(self):
        def chunks():
            yield b"{"
            raise ConnectionResetError(errno.ECONNRESET, "closed by the test")

        return werkzeug.Response(chunks())

    def _applied(self, outcome, reason="", missing=()):
        return web.json_response(
            operators.Applied(
                outcome=outcome,
                generation=len(self.store.changes),
                change_id=self.puts[-1],
                problems=[],
                missing=list(missing),
                reason=reason,
            )
        )

    def _status(self, request):
        if self.token not in request.headers.get("Authorization", ""):
            error = exceptions.Refused("wrong token", reason="forbidden")
            error.status = 403
            raise error
        return web.json_response(STATUS)

    def _drain(self, request, vm_id):
        return web.json_response({"vm_id": vm_id, "state": "leaving"})

    def _versions(self, request, service):
        return web.json_response(VERSIONS)

    def _explain(self, request, request_id):
        if request_id != "r1":
            raise exceptions.NotFound(f"no request {request_id}")
        return web.json_response(EXPLANATION)


STATUS = operators.Status(
    vm_id="entry-1",
    ready=False,
    unready=["configuration"],
    services=[{"service": "planner-lm", "kind": "model", "generation": 3}],
    members=[
        {
            "vm_id": "agent-1",
            "address": "127.0.0.1:7301",
            "failure_domain": "kamnik-hall",
            "role": "agent",
            "service": "planner-lm",
            "state": "live",
        }
    ],
)
VERSIONS = operators.Versions(
    service="planner-lm",
    desired="8",
    replicas=[
        {"vm_id": "a1", "failure_domain": "kamnik-hall", "version": "8"},
        {"vm_id": "a2", "failure_domain": "ljubljana-hall", "version": "7"},
    ],
)
EXPLANATION = operators.Explanation(
    request_id="r1",
    events=[
        {"at": 100.0, "event": "received", "fields": {"service": "s"}},
        {"at": 100.25, "event": "attempt", "fields": {"replica": "a1"}},
    ],
)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def start_entry(store):
    with contextlib.ExitStack() as stack:

        def start():
            entry = FakeEntry(store)
            stack.callback(entry.server.close)
            return entry

        yield start


@pytest.fixture
def entry(start_entry):
    return start_entry()


@pytest.fixture
def run():
    """Return a function that runs ``anvilwell`` and returns its exit code."""

    def execute(*words):
        return commandline.execute(commands.PROGRAM, ["anvilwell", *words])

    return execute


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "stops.ini"
    path.write_text("[service]\nname = stops-app\nkind = plain\n")
    return str(path)
