"""Tests that runs release slots and items, and which batches are run."""

import asyncio
import types

from anvilwell_decisions.requests import byte_budget
from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import table
from anvilwell_gateway.batches import manager as managers
from anvilwell_gateway.batches import owned_batch as owned_batches
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway.batches import scheduler as schedulers
from anvilwell_gateway.batches import slot_sharing
from anvilwell_gateway import directory as directories

ROUTE = facts.Route("r", "h", "/", (facts.WeightedService("lm", 1.0),), True)
REPLICA = facts.Replica("r0", "lm", None, "a", 2)
MEMBERSHIP_CHANGED = directories.DirectoryChange(frozenset({"r0"}), True)
NOTICE_RECEIVED = directories.DirectoryChange(frozenset({"r0"}), False)
OWNER = records.Owner("vm", "life", 2, "", 0.0, 1)


class _Directory:
    def __init__(self):
        self.replicas = [REPLICA, REPLICA._replace(service="plain")]
        # The service of each query for replicas.
        self.queried_services = []

    def listen(self, callback):
        self.changed = callback

    def usable(self, service=None):
        self.queried_services.append(service)
        return [one for one in self.replicas if one.service == service]

    def find_usable(self, replica_id):
        found = [r for r in self.replicas if r.replica_id == replica_id]
        self.queried_services += [replica.service for replica in found[:1]]
        return found[0] if found else None


class _Runner:
    def __init__(self):
        self.runs = []
        self.may_finish = asyncio.Event()
        self.may_finish.set()

    async def run(self, order, replica, pace):
        self.runs.append((order.item.item_id, replica.replica_id))
        await self.may_finish.wait()
        return runners.RunResult(runners.RunEnd.WHOLE)


def _batch(batch_id, revision=1):
    items = tuple(
        facts.Item(f"{batch_id}-{n}", "/", (), b"", "g") for n in range(2)
    )
    submission = facts.Submission(batch_id, "h", "/", items)
    now = asyncio.get_running_loop().time()
    claim = records.Claim(OWNER, revision)
    return owned_batches.OwnedBatch(claim, ROUTE, submission, now + 60)


def _run(scenario):
    async def run():
        configuration = types.SimpleNamespace(
            routes=table.RouteTable([ROUTE]),
            listen=lambda callback: None,
            current=None,
        )
        directory, runner = _Directory(), _Runner()
        manager = managers.BatchManager(
            None,
            directory,
            configuration,
            runner,
            None,
            None,
            slot_sharing.SlotSharing(
                "vm",
                None,
                types.SimpleNamespace(
                    all=lambda service: ("vm",),
                    domains_by_home=lambda service: {},
                ),
            ),
            byte_budget.ByteBudget(),
        )
        try:
            return await scenario(manager, directory, runner)
        finally:
            await manager.stop()

    return asyncio.run(run())


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0)


def test_a_run_that_is_cancelled_before_it_began_frees_its_slot():
    async def scenario(manager, directory, runner):
        manager.open(_batch("b1"))
        manager.end("b1")
        manager.open(_batch("b2"))
        await _until(lambda: len(runner.runs) == 2)
        assert {item_id for item_id, _ in runner.runs} == {"b2-0", "b2-1"}

    _run(scenario)


def test_a_replica_that_leaves_before_its_run_began_keeps_no_item():
    async def scenario(manager, directory, runner):
        manager.open(_batch("b1"))
        directory.replicas = []
        directory.changed(MEMBERSHIP_CHANGED)
        await _until(lambda: len(runner.runs) == 2)

    _run(scenario)


def test_an_entry_without_batches_queries_no_replica():
    """Guards against passes over all replicas at entries without batches.

    In a simulated day with 300 machines, each notice of an agent made every
    entry examine all 2,999 replicas for batches that it did not have. This
    took four fifths of the entries' processor time, and the run was aborted.
    """

    async def scenario(manager, directory, runner):
        for changed in [MEMBERSHIP_CHANGED, NOTICE_RECEIVED] * 5:
            directory.changed(changed)
        assert directory.queried_services == []
        manager.open(_batch("b1"))
        tasks = manager.batches_by_id["b1"].tasks_by_item
        await _until(lambda: len(runner.runs) == 2 and not tasks)
        query_count = len(directory.queried_services)
        directory.changed(MEMBERSHIP_CHANGED)
        assert len(directory.queried_services) == query_count

    _run(scenario)


def test_batches_query_the_replicas_of_their_service_only():
    async def scenario(manager, directory, runner):
        manager.open(_batch("b1"))
        directory.changed(MEMBERSHIP_CHANGED)
        await _until(lambda: len(runner.runs) == 2)
        assert set(directory.queried_services) == {"lm"}

    _run(scenario)


def test_notices_share_a_query_of_the_replicas():
    async def scenario(manager, directory, runner):
        runner.may_finish.clear()
        manager.open(_batch("b1"))
        assert len(directory.queried_services) == 1
        for _ in range(9):
            directory.changed(NOTICE_RECEIVED)
            await asyncio.sleep(0)
        assert len(directory.queried_services) == 1
        await asyncio.sleep(2 * schedulers.NOTICE_DELAY_S)
        assert len(directory.queried_services) == 2

    _run(scenario)


def test_the_batch_that_was_submitted_first_goes_first():
    """Guards against a later step that takes the slots of an earlier one.

    After a loss of all processes a trainer's later step was opened first and
    took every slot. The earlier step, which lacked only a few long items, was
    refused for 1.2 s.
    """

    async def scenario(manager, directory, runner):
        earlier = OWNER._replace(submitted_at=OWNER.submitted_at - 4.0)
        later, first = _batch("b2"), _batch("b1")
        first.claim = records.Claim(earlier, 1)
        directory.replicas = []
        manager.open(later)
        manager.open(first)
        directory.replicas = [REPLICA]
        directory.changed(MEMBERSHIP_CHANGED)
        await _until(lambda: len(runner.runs) == 2)
        assert {item_id for item_id, _ in runner.runs} == {"b1-0", "b1-1"}

    _run(scenario)


def test_only_the_newest_claim_of_a_batch_is_open_and_runs():
    """Guards against losing a newer claim when an older one is dropped."""

    async def scenario(manager, directory, runner):
        older, newer = _batch("b1"), _batch("b1", 2)
        manager.open(older)
        manager.open(newer)
        manager.open(_batch("b1"))
        await manager.drop(older, "another process owns it")
        assert manager.batches_by_id == {"b1": newer}
        await _until(older.committer.cancelled)
        assert not newer.committer.done()

    _run(scenario)


def test_a_read_that_waits_ends_with_the_batch():
    """Guards against waiting the full time after ownership is lost."""

    async def scenario(manager, directory, runner):
        batch = _batch("b1")
        manager.open(batch)
        waiting = asyncio.create_task(batch.wait_listed(0, 3600.0))
        await asyncio.sleep(0)
        await manager.drop(batch, "another process owns it")
        async with asyncio.timeout(10.0):
            await waiting

    _run(scenario)
