"""Steps end to end on real sockets, with entries that go away."""

import asyncio
import contextlib
import random

import pytest
import urllib3

from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import dispatcher
from anvilwell_daemon.entry import replicas
from anvilwell_daemon.entry import traces
from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service as leases
from anvilwell_daemon.membership import service as membership
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers
from anvilwell_daemon.runs import keeper
from anvilwell_daemon.runs import service as runs
from anvilwell_decisions.requests import admission
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.documents import document as documents
from anvilwell_kernel.messages import links
from anvilwell_kernel import services
from anvilwell_kernel import web
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import http_scorer
from anvilwell_outside.adapters import sse_engine
from anvilwell_standins.engine import server as engines
from anvilwell_standins.engine import weights
from anvilwell_standins.keyvalue import server
from anvilwell_standins import scorer

WAIT_S = 60.0
TTL_S = 2.0
SLOW = engines.Shape(slots=1, token_s=0.005)
CLOCK = clocks.SystemClock()
GROUPS = [
    {"group": f"g{n}", "prompt": f"p{n}", "samples": 4, "max_tokens": 24}
    for n in range(3)
]
STEP = {"service": "lm", "groups": GROUPS}


class Configuration(services.Service):
    name = "configuration"

    def services(self):
        return ["lm"]

    def document(self, name):
        return documents.Document(
            documents.ServiceSection("lm", "model"),
            documents.ModelSection("m", "1", 1),
        )

    def generation(self, name):
        return 1

    def subscribe(self, callback):
        pass


class Fleet:
    """Entries and agents in one process, linked by real sockets."""

    def __init__(self, stack):
        self.stack = stack
        self.keyvalue = stack.enter_context(server.KeyValue())
        self.scorer = stack.enter_context(scorer.Scorer())
        self.seeds = []
        self.entries_by_id = {}

    async def add_entry(self, vm_id):
        web_server = web.WebServer("127.0.0.1", 0, threads=8)
        client = http_client.HttpClient(self.scorer.address)
        parts = [
            web_server,
            replicas.Replicas(
                links.Hello(vm_id, "entry", "", "d", 1), max_links=1
            ),
            traces.Traces(CLOCK, 10),
            Configuration(),
            dispatcher.Dispatcher(CLOCK),
            runs.Runs(vm_id, http_scorer.HttpScorer(client)),
        ]
        kernel = await self._start(vm_id, "entry", "", parts)
        self.entries_by_id[vm_id] = (kernel, web_server)

    async def add_agent(self, vm_id):
        held = weights.Weights("m", "1", swap_s=0.05)
        standin = self.stack.enter_context(engines.Engine(held, SLOW))
        engine = sse_engine.SseEngine(http_client.HttpClient(standin.address))
        agent = agents.Agent(
            links.Hello(vm_id, "agent", "lm", "d", 1),
            model.ModelBackend(engine),
            admission.Admission(),
            CLOCK,
        )
        kernel = await self._start(vm_id, "agent", "lm", [agent])
        return kernel, standin

    async def _start(self, vm_id, role, name, parts):
        store = etcd.Etcd(http_client.HttpClient(self.keyvalue.address))
        self.stack.callback(store.close)
        door = listener.Listener("127.0.0.1", 0)
        kernel = services.Kernel(
            [
                door,
                peers.Peers(vm_id, door),
                membership.Membership(
                    role,
                    name,
                    f"d{len(self.seeds) % 2}",
                    seeds=list(self.seeds),
                    rng=random.Random(vm_id),
                ),
                facade.KeyValueFacade(store, timeout_s=5.0),
                leases.Leases(vm_id, ttl_s=TTL_S),
                keeper.Keeper(),
                *parts,
            ]
        )
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        self.seeds.append(door.address)
        return kernel

    def holder(self):
        """Return the id of the entry that holds the runs, or None."""
        for vm_id, (kernel, _) in self.entries_by_id.items():
            if kernel.get("runs").holds("lm"):
                return vm_id
        return None

    def other(self, vm_id):
        return next(name for name in self.entries_by_id if name != vm_id)

    async def until_held(self):
        while self.holder() is None:
            await asyncio.sleep(0.02)
        return self.holder()


class Trainer:
    """Asks an entry and repeats what was refused."""

    def __init__(self, fleet, vm_id):
        self.fleet = fleet
        self.entry = vm_id
        self.cursor = 0
        self.rows = []

    async def ask(self, method, path, **options):
        while True:
            _, web_server = self.fleet.entries_by_id[self.entry]
            host, port = web_server.address
            answer = await asyncio.to_thread(
                urllib3.request,
                method,
                f"http://{host}:{port}/v1/runs/r/{path}",
                timeout=20,
                retries=False,
                **options,
            )
            if answer.status not in (409, 502, 503, 504):
                return answer
            assert answer.json()["error"]["reason"]
            await asyncio.sleep(0.1)

    async def submit(self, step):
        answer = await self.ask("POST", f"steps/{step}", json=STEP)
        assert answer.status == 200, answer.data

    async def collect(self, want, limit=100):
        while len(self.rows) < want:
            path = f"samples?cursor={self.cursor}&wait_s=2&limit={limit}"
            answer = (await self.ask("GET", path)).json()
            self.rows += answer["samples"]
            self.cursor = answer["next_cursor"]
        return answer


def run(scenario, entries=2, agents_count=2):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(stack)
            async with asyncio.timeout(WAIT_S):
                for number in range(entries):
                    await fleet.add_entry(f"entry{number}")
                fleet.agents = [
                    await fleet.add_agent(f"vm{number}")
                    for number in range(agents_count)
                ]
                await scenario(fleet, await fleet.until_held())

    asyncio.run(main())


def check_whole(rows, steps):
    ids = [(row["step"], row["group"], row["index"]) for row in rows]
    wanted = [
        (step, group["group"], index)
        for step in steps
        for group in GROUPS
        for index in range(group["samples"])
    ]
    assert sorted(ids) == wanted
    assert [row["position"] for row in rows] == list(range(len(rows)))
    assert all(row["versions"] == ["1"] for row in rows)
    assert all(row["tokens"] == 24 for row in rows)
    assert all(row["score"] == scorer.score(row["text"]) for row in rows)


def test_a_step_through_an_entry_that_does_not_hold_the_run():
    async def scenario(fleet, holder):
        trainer = Trainer(fleet, fleet.other(holder))
        await trainer.submit(1)
        await trainer.submit(1)
        answer = await trainer.collect(12)
        check_whole(trainer.rows, [1])
        assert answer["step_whole"] == [1]

    run(scenario)


def test_a_step_is_whole_though_its_holder_goes():
    async def scenario(fleet, holder):
        trainer = Trainer(fleet, holder)
        await trainer.submit(1)
        await trainer.collect(1, limit=1)
        kernel, _ = fleet.entries_by_id.pop(holder)
        assert kernel.get("runs").unfinished("lm") > 0
        await kernel.stop()
        trainer.entry = fleet.other(holder)
        await trainer.collect(12)
        await trainer.submit(2)
        await trainer.collect(24)
        check_whole(trainer.rows, [1, 2])

    run(scenario)


def test_another_entry_takes_over_from_one_with_a_bug():
    async def fail(sample, digest):
        raise ZeroDivisionError("a bug")

    async def scenario(fleet, holder):
        kernel, _ = fleet.entries_by_id[holder]
        kernel.get("runs")._parts.copies.spread = fail
        trainer = Trainer(fleet, holder)
        await trainer.submit(1)
        await trainer.collect(12)
        check_whole(trainer.rows, [1])
        assert fleet.holder() == fleet.other(holder)

    run(scenario)


def test_a_step_is_whole_though_an_agent_goes():
    async def scenario(fleet, holder):
        trainer = Trainer(fleet, holder)
        await trainer.submit(1)
        kernel, _ = fleet.agents[0]
        await kernel.stop()
        await trainer.collect(12)
        check_whole(trainer.rows, [1])

    run(scenario)


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("steps/1", {"service": "lm"}, 400),
        ("steps/1", {"service": "lm", "groups": []}, 400),
        ("steps/1", {**STEP, "service": "no service"}, 400),
    ],
)
def test_bad_steps_are_refused(path, body, status):
    async def scenario(fleet, holder):
        trainer = Trainer(fleet, holder)
        answer = await trainer.ask("POST", path, json=body)
        assert answer.status == status
        assert answer.json()["error"]["verdict"] == "not-run"

    run(scenario, agents_count=0)
