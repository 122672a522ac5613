"""An entry: faces callers and trainers, and runs batches."""

import asyncio

from anvilwell_gateway.batches import desk as desks
from anvilwell_gateway.batches import handing
from anvilwell_gateway.batches import holder as holders
from anvilwell_gateway.batches import intake as intakes
from anvilwell_gateway.batches import owners
from anvilwell_gateway.batches import passing
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import retention
from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway import callers
from anvilwell_gateway import claims
from anvilwell_gateway import configuration as configurations
from anvilwell_gateway import crashes
from anvilwell_gateway import directory as directories
from anvilwell_gateway.duties import reports
from anvilwell_gateway import feeds
from anvilwell_gateway import forwarding
from anvilwell_gateway.http import client
from anvilwell_gateway.http import listening
from anvilwell_gateway.http import server as servers
from anvilwell_gateway import measures
from anvilwell_gateway import metrics_page
from anvilwell_gateway import neighbours
from anvilwell_gateway import news
from anvilwell_gateway import notices
from anvilwell_gateway import paths
from anvilwell_gateway import presence as presences
from anvilwell_gateway import retirement
from anvilwell_gateway import standing_in
from anvilwell_gateway import versions
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# After SIGTERM: the balancer asks once a second and needs two misses, so
# for so long new connections still come.
LEAVE_S = 2.6
# Poll of what is under way at the start and at the end, in seconds.
POLL_S = 0.02
NOT_CONFIGURED_RETRY_S = 0.3
# How long a call waits for the first configuration and list of replicas, a
# batch for this entry's registration. They come 30 and 70 ms after the
# start if the store answers; a refusal costs a caller one of its few tries.
FIRST_WAIT_S = 0.25
# An entry that has run for so long and still lacks them refuses at once:
# then the store is away, perhaps for seconds.
STARTING_S = 1.0

_LOG = logs.get_logger(__name__)


class Entry:
    """Puts the parts of an entry together.

    Parameters
    ----------
    settings : config.Settings
        Addresses and names.
    platform : platforms.Platform
        The adapter to the platform.
    early : listening.Early, optional
        What listens already.
    """

    def __init__(self, settings, platform, early=None):
        self._settings = settings
        self._early = early or listening.Early({})
        self._dialect = platform.dialect
        loop = asyncio.get_running_loop()
        self._pool = client.Pool(loop.time)
        store = platform.store
        self._configuration = configurations.ConfigurationFollower(
            store, platform.codec
        )
        self._directory = directories.Directory(store, platform.codec)
        domain = settings.daemon.failure_domain
        self._presence = presences.Presence(
            store,
            settings.daemon.vm_id,
            domain,
            settings.daemon.cores * settings.daemon.core_share,
        )
        self._callers = callers.Callers(
            self._dialect,
            self._configuration,
            self._presence,
            settings.organisations,
        )
        self._paths = platform.paths
        self._neighbours = neighbours.Neighbours(
            settings.daemon.vm_id, domain, self._presence.is_answered
        )
        self._feeds = feeds.Feeds(self._presence.may_vouch)
        self._news = news.News(
            store, self._presence, self._paths, self._neighbours
        )
        self._relay = paths.Relay(self._paths.direct)
        self._peers = servers.Server(settings.entry.peers, self._answer_peer)
        self._peers.limits = servers.FIRST_LIMITS._replace(
            max_body_bytes=paths.MAX_ANSWER_BYTES
        )
        self._versions = versions.Versions(store, platform.codec)
        self._retirement = retirement.Retirement(
            store, platform.codec, self._news, settings.daemon.vm_id
        )
        self._crashes = crashes.Crashes(
            store, self._directory, settings.daemon.vm_id
        )
        self._news.pass_on(crashes.PREFIX, self._crashes)
        self._usage = reports.build(
            settings, platform, self._presence, self._news
        )
        self._forwarder = forwarding.Forwarder(
            self._dialect,
            self._directory,
            self._pool,
            self._configuration,
            self._crashes,
            self._usage.began,
        )
        batch_store = records.BatchStore(store)
        self._holder = holders.Holder(
            batch_store,
            self._directory,
            self._configuration,
            runners.Runner(self._dialect, self._pool),
            self._forwarder,
            self._dialect,
            self._crashes,
        )
        self._owners = owners.Owners(store)
        self._hander = handing.Hander(self.vm_id, self._news)
        self._stand_in = standing_in.StandIn(
            self.vm_id,
            self._directory,
            self._versions,
            self._neighbours,
            self.heard_at,
            claims.Claims(store, self.vm_id),
            platform.engine_at,
            self._holder.needs_by_model,
        )
        self._intake = intakes.Intake(
            batch_store,
            self._holder,
            self._presence,
            self._news,
            self._owners,
            self._dialect,
            self._hander,
        )
        self._passer = passing.Passer(
            self._owners, self._news, self.vm_id, domain
        )
        self.retention = retention.Retention(batch_store, self._holder)
        self._desk = desks.Desk(
            batch_store,
            self._holder,
            self._intake,
            self._dialect,
            self._owners,
            self._passer,
        )
        self._front = servers.Server(
            settings.entry.listen,
            self._answer,
            self._early.take(settings.entry.listen),
        )
        self._health = servers.Server(
            settings.entry.ready,
            self._answer_health,
            self._early.take(settings.entry.ready),
        )
        self._metrics = metrics_page.MetricsPage(
            settings.metrics, self._beliefs
        )
        self._followers = (
            self._configuration,
            self._directory,
            self._news,
            self._owners,
            self._versions,
            self._retirement,
        )
        self._is_draining = False
        self._started_at = loop.time()
        self._configuration.listen(self._configured)

    @property
    def vm_id(self):
        """The id of this entry's VM."""
        return self._presence.vm_id

    @property
    def batches(self):
        """The batches that this entry owns, as held_by_id."""
        return self._holder.held_by_id

    @property
    def directory(self):
        """The replicas that are known here."""
        return self._directory

    @property
    def configuration_version(self):
        """The version of the configuration in force, None before one."""
        current = self._configuration.current
        return current.version if current else None

    @property
    def usage_holder(self):
        """The VM that reports usage, as far as is known here, or None."""
        return self._usage.holder

    @property
    def crashes(self):
        """Which requests end replicas, as far as is known here."""
        return self._crashes

    @property
    def in_flight(self):
        """How many requests of callers are under way."""
        return self._front.in_flight

    @property
    def port(self):
        """The port that callers connect to."""
        return self._front.port

    @property
    def peer_address(self):
        """Where other VMs ask this one for help."""
        host = self._settings.entry.peers.host
        return options.Address(host, self._peers.port)

    @property
    def lives_by_vm(self):
        """The life of each entry that is known here."""
        return self._news.lives_by_vm

    @property
    def metrics_port(self):
        """The port of the metrics page."""
        return self._metrics.port

    @property
    def health_port(self):
        """The port of readiness."""
        return self._health.port

    async def start(self):
        """Listen and begin to follow the store."""
        for problem in self._early.problems:
            _LOG.log("listens-late", cause=problem)
        await self._front.start()
        await self._health.start()
        await self._peers.start()
        await self._metrics.start()
        self._presence.start(self.peer_address)
        self.retention.start()
        for follower in self._followers:
            follower.start(self._neighbours, self._feeds)
        self._stand_in.start()
        self._usage.start()
        self._starting = asyncio.create_task(self._review_once())

    async def _review_once(self):
        """Take back what an earlier life of this VM owned."""
        while not (
            self._news.is_loaded
            and self._owners.is_loaded
            and self._configuration.current
        ):
            await asyncio.sleep(POLL_S)
        self._intake.begin()

    async def drain(self):
        """Hand over all work, and end what is under way."""
        self._is_draining = True
        self._intake.is_draining = True
        self._front.is_draining = True
        loop = asyncio.get_running_loop()
        leave_at = loop.time() + LEAVE_S
        await self._stand_in.stop()
        await self._intake.stop()
        await self._holder.let_go()
        await self._usage.let_go()
        await self._presence.stop()
        while loop.time() < leave_at or self._front.in_flight:
            await asyncio.sleep(POLL_S)
        await self._usage.stop()

    async def stop(self):
        """Close everything."""
        self._starting.cancel()
        await self._stand_in.stop()
        for follower in self._followers:
            await follower.stop()
        await self.retention.stop()
        await self._crashes.stop()
        await self._usage.stop()
        await self._presence.stop()
        await self._intake.stop()
        await self._holder.stop()
        await self._front.stop()
        await self._health.stop()
        await self._peers.stop()
        await self._metrics.stop()
        await self._paths.close()
        self._neighbours.close()
        self._passer.close()
        self._hander.close()
        self._pool.close()

    def heard_at(self, engine):
        """Return when the agent of an engine was heard last, or -inf."""
        return max(
            self._feeds.heard_at(engine), self._directory.noted_at(engine)
        )

    def _configured(self):
        self._front.limits = self._configuration.current.limits

    def _is_ready(self):
        return (
            not self._is_draining
            and self._is_informed
            and self._news.is_loaded
        )

    async def _answer_health(self, request, responder):
        await responder.send(200 if self._is_ready() else 503)

    async def _answer_peer(self, request, responder):
        """Answer another VM of ours."""
        try:
            await self._dispatch_peer(request, responder)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "peer-not-answered", path=request.path, cause=error.message
            )
            await responder.send(error.status)

    async def _dispatch_peer(self, request, responder):
        if request.path == paths.RELAY_TARGET:
            await self._relay.answer(request, responder)
        elif request.path == feeds.TARGET:
            await self._feeds.answer(request, responder)
        elif request.path == reports.TARGET:
            await self._usage.answer(request, responder)
        elif request.path == handing.TARGET:
            await self._take_batch(request, responder)
        elif request.path == passing.TARGET:
            if not self._presence.may_vouch():
                raise exceptions.Refused("the store is silent here")
            await self._desk.answer_peer(request, responder)
        elif request.path == notices.TARGET:
            self._directory.note(notices.read(request.body))
            needs_by_model = self._holder.needs_by_model()
            body = notices.write_needs(needs_by_model)
            await responder.send(200, (), body)
        else:
            raise exceptions.NotFound(f"peers do not ask for {request.path}")

    async def _take_batch(self, request, responder):
        """Accept a batch that another entry was given."""
        handed = handing.read_request(request.body)
        route = self._configuration.routes.find(handed.host, handed.path)
        if route is None or not route.is_batch:
            raise exceptions.Refused("the route is not known here")
        await self._desk.submit_peer(route, handed, responder)

    def _beliefs(self):
        """Return each `measures.Belief` as of now."""
        return [
            *self._configuration.beliefs(),
            *self._presence.beliefs(),
            *self._paths.beliefs(),
            *self._directory.beliefs(),
            *self._holder.beliefs(),
            *self._crashes.beliefs(),
            *self._usage.beliefs(),
            measures.Belief("peers", len(self._news.lives_by_vm)),
        ]

    async def _answer(self, request, responder):
        call = self._dialect.read_call(request.headers)
        try:
            await self._dispatch(call, request, responder)
        except exceptions.AnvilwellError as error:
            if responder.has_started:
                raise
            await self._fail(call, error, responder)

    async def _dispatch(self, call, request, responder):
        batch_call = self._dialect.batch_call(request)
        if batch_call is not None:
            await self._wait_for(lambda: self._configuration.current)
            self._check_configured()
            batch_call = self._callers.admit_batch_call(batch_call, request)
            await self._desk.answer(batch_call, call.request_id, responder)
            return
        await self._wait_for(lambda: self._is_informed)
        self._check_configured()
        route, request = self._callers.admit(request)
        if route.is_batch:
            await self._wait_for(lambda: self._presence.is_registered)
            await self._desk.submit(route, call, request, responder)
        elif route.is_stream:
            await self._forwarder.stream(route, call, request, responder)
        else:
            await self._forwarder.forward(route, call, request, responder)

    def _check_configured(self):
        """Refuse what can't be judged without a configuration."""
        if self._configuration.current is None:
            raise exceptions.Refused(
                "no configuration is known yet",
                reason=reasons.Refusal.NOT_CONFIGURED,
            )

    async def _wait_for(self, is_known):
        """Wait a moment for what a new process does not know yet."""
        loop = asyncio.get_running_loop()
        starts_until = self._started_at + STARTING_S
        until = min(loop.time() + FIRST_WAIT_S, starts_until)
        while not is_known() and loop.time() < until:
            await asyncio.sleep(POLL_S)

    @property
    def _is_informed(self):
        """Whether configuration and replicas are known."""
        return (
            self._configuration.current is not None
            and self._directory.is_loaded
        )

    async def _fail(self, call, error, responder):
        counters.count_refusal(error.reason)
        current = self._configuration.current
        _LOG.log(
            "request-refused",
            request_id=call.request_id,
            configuration=current.version if current else None,
            status=error.status,
            reason=str(error.reason),
            cause=error.message,
        )
        retry_after_s = NOT_CONFIGURED_RETRY_S if error.status == 503 else None
        headers = self._dialect.failure_headers(call.request_id, retry_after_s)
        await responder.send(error.status, headers)
