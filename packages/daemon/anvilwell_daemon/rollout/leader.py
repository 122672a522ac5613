"""Leads the rollout of one service while it holds the leadership."""

import asyncio
import collections
import contextlib

from anvilwell_daemon.rollout import engine_orders
from anvilwell_decisions.rollout import reconciler
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership
from anvilwell_kernel.messages import orders as messages
from anvilwell_kernel.telemetry import logs

TICK_S = 0.25
SETTLED_TICK_S = 2.0
BATCH_TIMEOUT_S = 15.0
AHEAD_PERIOD_S = 10.0
STORE_TIMEOUT_S = 2.0

_LOG = logs.get_logger(__name__)


class Leader:
    """Holds a service's rollout leadership and runs its reconciler.

    Parameters
    ----------
    service : str
        The name of the service.
    kernel : services.Kernel
        The kernel with the daemon's other services.
    clock : clock.Clock
        Source of time.
    weight_store : ports.weightstore.WeightStore, optional
        Lists published versions, of which the newest is loaded ahead.
    """

    def __init__(self, service, kernel, clock, weight_store=None):
        self._service = service
        self._configuration = kernel.get("configuration")
        self._members = kernel.get("membership")
        self._leases = kernel.get("leases")
        self._peers = kernel.get("peers")
        self._relay = kernel.get("order-relay")
        self._clock = clock
        self._weight_store = weight_store
        self._lease = None
        self._reconciler = None
        self._logged_state = None
        self._turns_by_domain = collections.Counter()
        self._batches_by_domain = {}

    @property
    def leads(self):
        """Whether it holds the leadership and may send orders."""
        return self._lease is not None and self._lease.is_valid

    @property
    def progress(self):
        """The `reconciler.Progress`, None while it does not lead."""
        return self._reconciler.progress() if self.leads else None

    async def run(self):
        """Wait for the leadership, lead until it is lost, and repeat."""
        name = engine_orders.leadership_name(self._service)
        while True:
            lease = await self._leases.hold(name)
            try:
                await self._lead(lease)
            finally:
                self._lease = None
                self._reconciler = None
                await self._cancel_batches()
                await self._leases.release(lease)

    async def _lead(self, lease):
        self._reconciler = reconciler.Reconciler(self._service, lease.fencing)
        self._lease = lease
        async with asyncio.TaskGroup() as group:
            ahead = group.create_task(self._load_ahead())
            with contextlib.suppress(exceptions.Fenced):
                await self._reconcile(lease)
            ahead.cancel()

    async def _reconcile(self, lease):
        while lease.is_valid:
            self._update_reconciler()
            orders_by_id = self._reconciler.tick(self._clock.monotonic())
            for domain, targets in self._by_domain(orders_by_id).items():
                self._send(lease, domain, targets)
            self._log_progress()
            is_settled = self._reconciler.is_settled
            await asyncio.sleep(SETTLED_TICK_S if is_settled else TICK_S)

    def _update_reconciler(self):
        """Pass the current members and document to the reconciler."""
        dead = membership.State.DEAD
        self._reconciler.set_members(
            {
                member.vm_id: member.failure_domain
                for member in self._members.members_by_id.values()
                if member.service == self._service and member.state is not dead
            }
        )
        try:
            document = self._configuration.document(self._service)
            generation = self._configuration.generation(self._service)
        except exceptions.AnvilwellError:
            return
        if document.model:
            model = document.model
            self._reconciler.desire(
                reconciler.Desired(model.version, generation, model.live_floor)
            )

    def _log_progress(self):
        """Log the progress when a failure, a block or settling changes."""
        progress = self._reconciler.progress()
        state = (
            progress.failed,
            progress.is_blocked,
            self._reconciler.is_settled,
        )
        if state != self._logged_state:
            self._logged_state = state
            _LOG.log("progress", service=self._service, **progress._asdict())

    def _by_domain(self, orders_by_id):
        targets_by_domain = collections.defaultdict(list)
        for vm_id, order in orders_by_id.items():
            member = self._members.members_by_id[vm_id]
            target = messages.Target(vm_id, member.address, order)
            targets_by_domain[member.failure_domain].append(target)
        return targets_by_domain

    def _send(self, lease, domain, targets):
        task = asyncio.create_task(self._send_batch(lease, domain, targets))
        self._batches_by_domain.setdefault(domain, set()).add(task)
        task.add_done_callback(self._batches_by_domain[domain].discard)

    async def _send_batch(self, lease, domain, targets):
        batch = messages.Batch(targets)
        via = self._pick_relay(domain, targets)
        try:
            # Checked right before sending, as the process may have been
            # paused since the leadership was last checked.
            lease.check()
            if via == self._peers.vm_id:
                answer = await self._relay.take(via, batch)
            else:
                answer = await self._peers.request(via, batch, BATCH_TIMEOUT_S)
        except exceptions.AnvilwellError as error:
            _LOG.log("batch-failed", via=via, cause=error.message)
            self._turns_by_domain[domain] += 1
            answer = messages.BatchReport([], [], [t.vm_id for t in targets])
        self._process(answer)

    def _process(self, answer):
        if self._reconciler is None:
            return
        for report in answer.reports:
            self._reconciler.report(report)
        for vm_id in answer.missing:
            self._reconciler.mark_unreachable(vm_id)
        for refusal in answer.refusals:
            name = engine_orders.leadership_name(self._service)
            self._leases.refused(name, refusal.highest)

    def _pick_relay(self, domain, targets):
        if domain == self._members.me.failure_domain:
            return self._peers.vm_id
        live = membership.State.LIVE
        found = [
            target.vm_id
            for target in targets
            if self._members.members_by_id[target.vm_id].state is live
        ] or [targets[0].vm_id]
        return found[self._turns_by_domain[domain] % len(found)]

    async def _load_ahead(self):
        """Have the newest published version loaded before it is needed."""
        while self._weight_store is not None:
            try:
                versions = await self._published()
            except exceptions.AnvilwellError as error:
                _LOG.log("versions-unread", cause=error.message)
                versions = []
            if versions:
                self._reconciler.load_ahead(versions[-1])
            await asyncio.sleep(AHEAD_PERIOD_S)

    async def _published(self):
        model = self._configuration.document(self._service).model
        if model is None:
            return []
        return await asyncio.to_thread(
            self._weight_store.versions,
            model.name,
            timeout_s=STORE_TIMEOUT_S,
        )

    async def _cancel_batches(self):
        tasks = [t for ts in self._batches_by_domain.values() for t in ts]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
