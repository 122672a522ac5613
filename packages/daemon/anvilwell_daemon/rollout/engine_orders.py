"""The service ``engine-orders``: executes rollout orders on an agent."""

import asyncio
import random

from anvilwell_decisions.rollout import swap as swaps
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import orders as messages
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import engine as port

READ_PERIOD_S = 0.5
READ_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 120.0
_MS_PER_S = 1000

_TIMEOUTS_S_BY_KIND = {
    messages.Kind.LOAD: LOAD_TIMEOUT_S,
    messages.Kind.ACTIVATE: swaps.ACTIVATE_TIMEOUT_S,
}

_LOG = logs.get_logger(__name__)


def leadership_name(service):
    """Return the name of the leadership of a service's rollout."""
    return f"rollout/{service}"


class EngineOrders(services.Service):
    """Checks fencing numbers, forwards orders and reports the result.

    Reports state the version that the engine itself last reported.

    Parameters
    ----------
    service : str
        The service that the backend server belongs to.
    engine : ports.engine.Engine
        The adapter of the agent's engine.
    confirm_timeout_s : float
        Time in seconds during which an order without a response may
        still take effect.
    """

    name = "engine-orders"
    needs = ("peers", "leases")

    def __init__(
        self,
        vm_id,
        service,
        engine,
        *,
        clock=None,
        rng=None,
        confirm_timeout_s=swaps.CONFIRM_TIMEOUT_S,
    ):
        self._vm_id = vm_id
        self._service = service
        self._engine = engine
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._swap = swaps.Swap(
            vm_id, self._rng, self._now(), confirm_timeout_s
        )
        self._highest_lock = asyncio.Lock()
        self._tasks = set()
        self._listeners = []
        self._leases = None

    async def start(self, kernel):
        """Start accepting orders and polling the engine's version."""
        self._leases = kernel.get("leases")
        peers = kernel.get("peers")
        peers.declare(messages.KINDS)
        peers.on(messages.Order, self.take)
        self._spawn(self._poll_version())

    async def stop(self):
        """Stop the tasks; the engine still completes orders it received."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def report(self):
        """Return a `messages.Report` of the current state."""
        wall_ms = int(self._clock.wall() * _MS_PER_S)
        return self._swap.report(self._now(), wall_ms)

    def subscribe(self, callback):
        """Call ``callback()`` whenever an order has been executed."""
        self._listeners.append(callback)

    async def take(self, vm_id, order):
        """Accept a `messages.Order`; return a report or a refusal."""
        if order.service != self._service:
            raise exceptions.NotFound(
                f"this agent serves {self._service!r}, not {order.service!r}"
            )
        try:
            await self._learn_highest()
            actions = self._swap.order(order, self._now())
        except exceptions.Fenced as error:
            counters.count_refusal(error.reason, self._service)
            _LOG.log("fenced", sender=vm_id, cause=error.message)
            return self._swap.refusal()
        for action in actions:
            self._spawn(self._execute(action.order))
        return self.report()

    async def _learn_highest(self):
        if self._swap.gate.highest is not None:
            return
        async with self._highest_lock:
            if self._swap.gate.highest is not None:
                return
            name = leadership_name(self._service)
            try:
                self._swap.gate.raise_to(await self._leases.highest(name))
            except exceptions.KeyValueUnavailable as error:
                # The fencing gate then refuses the order as retryable.
                _LOG.log("highest-unknown", cause=error.message)

    async def _execute(self, order):
        outcome = await self._order_engine(order)
        await self._read_version()
        self._swap.executed(outcome, self._now())
        _LOG.log(
            "executed",
            kind=str(order.kind),
            version=order.version,
            outcome=outcome.value,
        )
        for callback in self._listeners:
            callback()

    async def _order_engine(self, order):
        timeout_s = _TIMEOUTS_S_BY_KIND[order.kind]
        engine_order = port.Order(
            str(order.kind), order.version, order.fencing
        )
        try:
            await asyncio.to_thread(
                self._engine.order, engine_order, timeout_s=timeout_s
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("order-failed", cause=error.message)
            if error.verdict is verdicts.Verdict.NOT_RUN:
                return swaps.CallOutcome.FAILED
            return swaps.CallOutcome.UNKNOWN
        return swaps.CallOutcome.DONE

    async def _poll_version(self):
        while True:
            await self._read_version()
            await asyncio.sleep(READ_PERIOD_S * self._rng.uniform(0.8, 1.2))

    async def _read_version(self):
        try:
            load = await asyncio.to_thread(
                self._engine.load, timeout_s=READ_TIMEOUT_S
            )
            version = load.version
        except exceptions.AnvilwellError as error:
            _LOG.log("version-unread", cause=error.message)
            version = ""
        self._swap.read(version, self._now())

    def _now(self):
        return self._clock.monotonic()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
