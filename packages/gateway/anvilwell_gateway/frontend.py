"""Where callers, trainers and the balancer meet an entry."""

import asyncio

from anvilwell_gateway import aborting
from anvilwell_gateway.http import server as servers
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# Poll of what a new process does not know yet, in seconds.
POLL_INTERVAL_S = 0.02
NOT_CONFIGURED_RETRY_AFTER_S = 0.3
# How long a call waits for the first configuration and list of replicas, a
# batch for this entry's registration. They come 30 and 70 ms after the
# start if the store answers; a refusal costs a caller one of its few tries.
STARTUP_WAIT_S = 0.25
# An entry that has run for so long and still lacks them refuses at once:
# then the store is away, perhaps for seconds.
STARTUP_S = 1.0

_LOG = logs.get_logger(__name__)


class Frontend:
    """Finds the part that answers each call, or says why none does.

    Parameters
    ----------
    settings : config.EntrySection
        Where it listens.
    dialect : dialect.Dialect
        How callers are spoken to.
    fleet : fleet.Fleet
        What is known.
    live_calls : live_calls.LiveCalls
        Answers live calls.
    batches : service.Batches
        Answers what concerns batches.
    early : listening.EarlyListeners
        What listens already.
    budget : byte_budget.ByteBudget
        What may be held for callers.
    """

    def __init__(
        self, settings, dialect, fleet, live_calls, batches, early, budget
    ):
        self._dialect = dialect
        self._fleet = fleet
        self._live_calls = live_calls
        self._batches = batches
        self._server = servers.Server(
            settings.listen,
            self._answer,
            early.take(settings.listen),
            budget,
        )
        self._health = servers.Server(
            settings.ready, self._answer_health, early.take(settings.ready)
        )
        self._aborter = aborting.RequestAborter(self._server)
        self._is_draining = False
        self._started_at = asyncio.get_running_loop().time()
        fleet.configuration.listen(self._configured)

    @property
    def in_flight(self):
        """How many requests of callers are under way."""
        return self._server.in_flight

    @property
    def port(self):
        """The port that callers connect to."""
        return self._server.port

    @property
    def health_port(self):
        """The port of readiness."""
        return self._health.port

    async def start(self):
        """Listen."""
        await self._server.start()
        await self._health.start()

    def start_draining(self):
        """Be ready no more, and end each connection after its answer."""
        self._is_draining = True
        self._server.is_draining = True

    async def finish(self):
        """Take nothing new, and answer what callers have sent."""
        await self._server.finish()

    async def abort_requests(self):
        """Answer what is under way now, without a promise."""
        await self._aborter.abort()

    async def stop(self):
        """Close everything."""
        await self._server.stop()
        await aborting.RequestAborter(self._health).abort()
        await self._health.stop()

    def _configured(self):
        self._server.limits = self._fleet.configuration.current.limits

    def _is_ready(self):
        return (
            not self._is_draining
            and self._fleet.is_informed
            and self._fleet.news.is_loaded
        )

    async def _answer_health(self, request, responder):
        await responder.send(200 if self._is_ready() else 503)

    async def _answer(self, request, responder):
        call = self._dialect.read_call(request.headers)
        try:
            async with self._aborter.guard():
                await self._dispatch(call, request, responder)
        except exceptions.AnvilwellError as error:
            if responder.has_started:
                raise
            await self._send_refusal(call, error, responder)
        except asyncio.CancelledError:
            _LOG.routine(
                "request-cut",
                request_id=call.request_id,
                status=responder.status,
                is_draining=self._is_draining,
            )
            raise

    async def _dispatch(self, call, request, responder):
        admission = self._live_calls.admission
        request_handler = self._batches.request_handler
        batch_call = self._dialect.batch_call(request)
        if batch_call is not None:
            await self._wait_for(lambda: self._fleet.configuration.current)
            self._check_configured()
            batch_call = admission.admit_batch_call(batch_call, request)
            await request_handler.answer(
                batch_call, call.request_id, responder
            )
            return
        await self._wait_for(lambda: self._fleet.is_informed)
        self._check_configured()
        route, request = admission.admit(request)
        if route.is_batch:
            await self._wait_for(lambda: self._fleet.presence.is_registered)
            await request_handler.submit(route, call, request, responder)
        else:
            await self._live_calls.answer(route, call, request, responder)

    def _check_configured(self):
        """Refuse what can't be judged without a configuration."""
        if self._fleet.configuration.current is None:
            raise exceptions.Refused(
                "no configuration is known yet",
                reason=reasons.Refusal.NOT_CONFIGURED,
            )

    async def _wait_for(self, is_ready):
        """Wait a moment for what a new process does not know yet."""
        loop = asyncio.get_running_loop()
        startup_ends_at = self._started_at + STARTUP_S
        deadline = min(loop.time() + STARTUP_WAIT_S, startup_ends_at)
        while not is_ready() and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _send_refusal(self, call, error, responder):
        counters.count_refusal(error.reason)
        current = self._fleet.configuration.current
        _LOG.log(
            "request-refused",
            request_id=call.request_id,
            configuration=current.version if current else None,
            status=error.status,
            reason=str(error.reason),
            cause=error.message,
        )
        retry_after_s = (
            NOT_CONFIGURED_RETRY_AFTER_S if error.status == 503 else None
        )
        headers = self._dialect.failure_headers(call.request_id, retry_after_s)
        await responder.send(error.status, headers)
