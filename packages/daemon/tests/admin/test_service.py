"""The operators' routes over real HTTP, with fake services."""

import asyncio
import json
import threading
import typing

import pydantic
import pytest
import urllib3

from anvilwell_daemon.admin import bridge as bridges
from anvilwell_daemon.admin import service as admin
from anvilwell_kernel import documents
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership
from anvilwell_kernel.messages import operators
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel import web

TIMEOUT_S = 20.0
TEXT = (
    "[service]\nname = planner-lm\nkind = model\n"
    "[model]\nname = planner\nversion = 8\nstaleness_bound = 2\n"
)
PUT = "/admin/services/planner-lm?change_id=c1&expected_generation=0"


class FakeChange(typing.NamedTuple):
    change_id: str
    generation: int
    digest: str
    operator: str


class FakeRecord(typing.NamedTuple):
    generation: int
    text: str
    history: list


class FakeOutcome(typing.NamedTuple):
    outcome: str
    generation: int
    change_id: str
    problems: list
    missing: list
    reason: str = ""


class FakeConfiguration(services.Service):
    name = "configuration"

    def __init__(self):
        self.proposals = []
        self.outcome = "in-force"
        self.is_down = False
        self.is_slow = False
        self.is_draining = False

    def services(self):
        return ["planner-lm"]

    def document(self, service):
        if self.is_draining:
            raise exceptions.Refused(
                "this daemon is leaving", reason=reasons.Refusal.DRAINING
            )
        return documents.parse(TEXT, service)

    def newest_generation(self, service):
        return 3

    def generation(self, service):
        self.document(service)
        return 3

    async def record(self, service):
        if self.is_down:
            raise exceptions.KeyValueUnavailable("no answer; try again")
        change = FakeChange("c0", 3, "abc", "ana")
        return FakeRecord(3, TEXT, [change])

    async def propose(self, service, text, **options):
        if self.is_slow:
            await asyncio.Event().wait()
        self.proposals.append((service, text, options))
        return FakeOutcome(self.outcome, 4, "c1", [], ["agent-2"], "conflict")


class FakeMembership(services.Service):
    name = "membership"

    def __init__(self):
        self.leaving = []
        self.members_by_id = {
            "agent-1": membership.Member(
                "agent-1",
                "127.0.0.1:1",
                "kamnik-hall",
                "agent",
                "planner-lm",
                membership.State.LIVE,
                1,
            )
        }

    def mark_leaving(self, vm_ids):
        self.leaving += vm_ids


class FakeLoad(typing.NamedTuple):
    version: str


class FakeCandidate(typing.NamedTuple):
    replica_id: str
    failure_domain: str
    load: FakeLoad | None


class FakeReplicas(services.Service):
    name = "replicas"

    def candidates(self, service):
        return [
            FakeCandidate("agent-1", "kamnik-hall", FakeLoad("7")),
            FakeCandidate("agent-2", "domzale-hall", None),
        ]


class Running:
    """A kernel on a loop on a thread of its own."""

    def __init__(self, kernel):
        self._kernel = kernel
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._wait_for(kernel.start())

    def ask(self, method, path, **options):
        host, port = self._kernel.get("admin").address
        return urllib3.request(
            method,
            f"http://{host}:{port}{path}",
            retries=False,
            timeout=TIMEOUT_S,
            **options,
        )

    def stop(self):
        self._wait_for(self._kernel.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_S)
        self._loop.close()

    def _wait_for(self, work):
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(TIMEOUT_S)


@pytest.fixture
def configuration():
    return FakeConfiguration()


@pytest.fixture
def members():
    return FakeMembership()


@pytest.fixture
def start():
    started = []

    def run(*parts, token=None):
        server = web.WebServer("127.0.0.1", 0, name="admin", threads=4)
        operators_service = admin.Operators("entry-1", token)
        kernel = services.Kernel([operators_service, server, *parts])
        started.append(Running(kernel))
        return started[-1].ask

    yield run
    for running in started:
        running.stop()


@pytest.fixture
def ask(start, configuration, members):
    return start(configuration, members, FakeReplicas())


@pytest.mark.parametrize(
    ("path", "kind"),
    [
        ("/admin/services", operators.Services),
        ("/admin/services/planner-lm", operators.ServiceDocument),
        ("/admin/services/planner-lm/history", operators.History),
        ("/admin/status", operators.Status),
        ("/admin/versions/planner-lm", operators.Versions),
    ],
)
def test_reads(path, kind, ask, snapshot):
    answer = ask("GET", path)

    assert answer.status == 200
    pydantic.TypeAdapter(kind).validate_json(answer.data)
    assert json.dumps(answer.json(), indent=2) == snapshot


def test_status_names_the_generation_while_draining(ask, configuration):
    configuration.is_draining = True
    (service,) = ask("GET", "/admin/status").json()["services"]
    assert service["kind"] == "draining"
    assert service["generation"] == 3


@pytest.mark.parametrize(
    ("outcome", "status", "verdict"),
    [
        ("in-force", 200, "ran"),
        ("refused", 409, "not-run"),
        ("unknown", 202, "may-have-run"),
    ],
)
def test_change(outcome, status, verdict, ask, configuration):
    configuration.outcome = outcome

    answer = ask("PUT", PUT + "&operator=ana", body=TEXT)

    assert answer.status == status
    assert answer.headers[web.VERDICT] == verdict
    assert answer.json()["outcome"] == outcome
    assert answer.json()["missing"] == ["agent-2"]
    options = {
        "change_id": "c1",
        "expected_generation": 0,
        "operator": "ana",
    }
    assert configuration.proposals == [("planner-lm", TEXT, options)]


@pytest.mark.parametrize(
    ("query", "body"),
    [
        ("", TEXT),
        ("?change_id=", TEXT),
        ("?change_id=" + "x" * 200, TEXT),
        ("?change_id=c&expected_generation=-1", TEXT),
        ("?change_id=c&expected_generation=x", TEXT),
        ("?change_id=c", b"\xff"),
    ],
)
def test_malformed_change(query, body, ask, configuration):
    answer = ask("PUT", "/admin/services/planner-lm" + query, body=body)

    assert answer.status == 400
    assert answer.headers[web.VERDICT] == "not-run"
    assert not configuration.proposals


def test_change_without_an_end_may_have_run(ask, configuration, monkeypatch):
    monkeypatch.setattr(bridges, "CALL_TIMEOUT_S", 0.1)
    configuration.is_slow = True

    answer = ask("PUT", PUT, body=TEXT)

    assert answer.status == 504
    assert answer.headers[web.VERDICT] == "may-have-run"


def test_show_goes_on_during_an_outage(ask, configuration):
    configuration.is_down = True

    answer = ask("GET", "/admin/services/planner-lm")

    assert answer.json()["generation"] == 3
    assert documents.parse(answer.json()["text"], "x") == documents.parse(
        TEXT, "x"
    )
    history = ask("GET", "/admin/services/planner-lm/history")
    assert history.status == 503


def test_drain(ask, members):
    assert ask("POST", "/admin/drain/agent-1").status == 200
    assert members.leaving == ["agent-1"]
    assert ask("POST", "/admin/drain/agent-9").status == 404


def test_missing_services_are_said(start):
    ask = start()

    status = ask("GET", "/admin/status")
    assert status.json()["members"] == []
    for method, path in (
        ("GET", "/admin/services"),
        ("PUT", PUT),
        ("POST", "/admin/drain/x"),
        ("GET", "/admin/versions/x"),
        ("GET", "/admin/explain/x"),
    ):
        answer = ask(method, path)
        assert answer.status == 503
        assert answer.headers[web.REASON] == "not-configured"
        assert "runs without the service" in answer.json()["error"]["message"]


@pytest.mark.parametrize("value", ["", "Bearer x", "hunter2", "Bearer \xe9"])
def test_token_is_needed(start, value):
    ask = start(token=pydantic.SecretStr("hunter2"))

    headers = {"Authorization": value} if value else {}
    answer = ask("GET", "/admin/status", headers=headers)

    assert answer.status == 403
    assert answer.headers[web.REASON] == "forbidden"
    assert b"hunter2" not in answer.data
    good = {"Authorization": "Bearer hunter2"}
    assert ask("GET", "/admin/status", headers=good).status == 200
