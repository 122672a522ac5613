"""Serves callers and trainers, and the load balancer's readiness probe."""

import asyncio

from anvilwell_gateway import aborting
from anvilwell_gateway.http import server as servers
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# How often a request polls for state that a new process has not loaded yet,
# in seconds.
POLL_INTERVAL_S = 0.02
# Retry-After of each 503 response that this module sends, in seconds.
NOT_CONFIGURED_RETRY_AFTER_S = 0.3
# How long a live call waits for the first configuration and replica list, and
# a batch for the registration of this entry, in seconds: several times what
# they take if the store answers. A refusal would use up one of the caller's
# few retries.
STARTUP_WAIT_S = 0.25
# Later than this after the start, in seconds, requests no longer wait but
# are refused at once: the store is then unreachable, perhaps for seconds.
STARTUP_S = 1.0

_LOG = logs.get_logger(__name__)


class Frontend:
    """Dispatches each request to live calls or batches, or refuses it.

    Parameters
    ----------
    settings : config.EntrySection
        Holds the addresses to listen on.
    dialect : dialect.Dialect
        Reads and writes the headers that callers use.
    fleet : fleet.Fleet
        Local copies of the configuration, the replicas and other entries.
    live_calls : live_calls.LiveCalls
        Answers live calls.
    batches : service.Batches
        Answers calls that submit, read or end batches.
    early : listening.EarlyListeners
        Sockets that are listening already.
    budget : byte_budget.ByteBudget
        Limits the bytes that are buffered for callers.
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
            self._body_policy,
        )
        self._health = servers.Server(
            settings.ready, self._answer_health, early.take(settings.ready)
        )
        self._aborter = aborting.RequestAborter(self._server)
        self._is_draining = False
        self._started_at = asyncio.get_running_loop().time()
        fleet.configuration.listen(self._apply_limits)

    @property
    def in_flight(self):
        """The number of caller requests in progress."""
        return self._server.in_flight

    @property
    def budget(self):
        """The `byte_budget.ByteBudget` of this process."""
        return self._server.budget

    @property
    def port(self):
        """The port that callers connect to."""
        return self._server.port

    @property
    def health_port(self):
        """The port of the readiness probe."""
        return self._health.port

    async def start(self):
        """Start listening for callers and for readiness probes."""
        await self._server.start()
        await self._health.start()

    def start_draining(self):
        """Report not ready, and close each connection after its response."""
        self._is_draining = True
        self._server.is_draining = True

    async def finish(self):
        """Stop accepting connections, and answer the requests received."""
        await self._server.finish()

    async def abort_requests(self):
        """Answer the requests in progress with an error now.

        The error says whether the request may have run.
        """
        await self._aborter.abort()

    async def stop(self):
        """Stop both servers and close all connections."""
        await self._server.stop()
        await aborting.RequestAborter(self._health).abort()
        await self._health.stop()

    def _apply_limits(self):
        self._server.limits = self._fleet.configuration.current.limits

    def _body_policy(self, request):
        """Return the `servers.BodyPolicy` for a request without its body."""
        configuration = self._fleet.configuration
        route = configuration.routes.find(request.host, request.path)
        if route is not None and route.is_batch:
            return self._batches.body_policy
        return servers.BodyPolicy()

    def _is_ready(self):
        return (
            not self._is_draining
            and self._fleet.has_loaded
            and self._fleet.cluster_state.is_loaded
        )

    async def _answer_health(self, request, responder):
        await responder.send(200 if self._is_ready() else 503)

    async def _answer(self, request, responder):
        call = self._dialect.read_request_head(request.headers)
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
            await request_handler.handle(
                batch_call, call.request_id, responder
            )
            return
        await self._wait_for(lambda: self._fleet.has_loaded)
        self._check_configured()
        route, request = admission.admit(request)
        if route.is_batch:
            await self._wait_for(lambda: self._fleet.presence.is_registered)
            await request_handler.submit(route, call, request, responder)
        else:
            await self._live_calls.answer(route, call, request, responder)

    def _check_configured(self):
        """Refuse the request if no configuration was received yet."""
        if self._fleet.configuration.current is None:
            raise exceptions.Refused(
                "no configuration received yet",
                reason=reasons.Refusal.NOT_CONFIGURED,
            )

    async def _wait_for(self, is_ready):
        """Wait until `is_ready()`, if this process has only just started.

        Waits for `STARTUP_WAIT_S` at most, and not beyond `STARTUP_S` after
        the start. Callers of this method check the state again.
        """
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
