"""The agent role: loads the versions that trainers name into an engine.

An agent has priority over entries. An entry gives orders to an engine only
after it has received nothing from the engine's agent for some seconds, and the
claim in the store decides which process may give orders.
"""

import asyncio

from anvilwell_decisions.batches import loading
from anvilwell_decisions.traffic import facts
from anvilwell_gateway import cluster_state
from anvilwell_gateway import engine_claims
from anvilwell_gateway import engine_listing
from anvilwell_gateway import measures
from anvilwell_gateway import metrics_page
from anvilwell_gateway import neighbours
from anvilwell_gateway import notices
from anvilwell_gateway import tasks
from anvilwell_gateway import version_loading
from anvilwell_gateway import wanted_versions
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Seconds between pings of the store. A version must be in force two seconds
# after a trainer names it, so the loss of the store must be detected sooner.
PING_INTERVAL_S = 1.0
# Seconds between checks whether a ping is due. It is shorter than the
# ping interval so that the first ping is sent at once when the entry that
# feeds this agent reports that it lost the store.
POLL_INTERVAL_S = 0.1
# Age in seconds up to which an answered ping proves that the store can be
# reached.
PING_FRESHNESS_S = 0.5
# Seconds to wait for the first entry to register. If none does, the agent
# reads versions from the store itself.
ENTRY_WAIT_S = 0.5
# Seconds between checks whether the engine lost a version, by a restart or
# by an order that was carried out late. The engine runs on the same VM, so
# a report costs no network traffic.
ENGINE_CHECK_INTERVAL_S = 1.0
# Seconds between checks whether other engines still keep the models that this
# engine leaves to them. Those engines are seldom all gone at once, but then no
# engine would load their models before the next version is named. The
# registrations are read again only if no version that was named meanwhile has
# caused a read within this time.
KEEPER_CHECK_INTERVAL_S = 5.0

_LOG = logs.get_logger(__name__)


class Agent:
    """Orders one engine to load the versions that trainers name.

    Parameters
    ----------
    settings : config.Settings
        Names and addresses.
    platform : platforms.Platform
        The ports to the platform.
    """

    def __init__(self, settings, platform):
        self._vm_id = settings.daemon.vm_id
        self._clock = asyncio.get_running_loop().time
        self._backend = settings.agent.backend
        self._engine = platform.engine_at(settings.agent.backend)
        self._store = platform.store
        self._store_path = platform.store_path
        self._versions = wanted_versions.WantedVersions(
            platform.store, platform.codec
        )
        self._peers = cluster_state.EntryFollower(
            platform.store, self._entries_changed
        )
        self._loader = version_loading.VersionLoader(
            self._engine,
            self._backend,
            self._vm_id,
            engine_claims.EngineClaims(platform.store, self._vm_id),
            self._versions,
        )
        self._engine_incarnation = None
        self._loaded_by_model = {}
        # An agent holds no lease, whose renewal would show that the store
        # answers, so it sends pings.
        self._answered_at = float("-inf")
        self._neighbours = neighbours.Neighbours(
            self._vm_id,
            settings.daemon.failure_domain,
            self._has_answered_recently,
            str(self._backend),
        )
        self._metrics = metrics_page.MetricsPage(
            settings.metrics, self._gauge_values
        )
        self._tasks = []
        self._load_tasks_by_model = {}
        self._notice_sender = notices.NoticeSender()
        self._notice_tasks = set()
        self._loading_models = set()
        self._lags_by_model = {}
        # The models that this engine leaves to other engines.
        self._models_kept_elsewhere = set()
        self._listing = engine_listing.EngineListing(
            platform.store, platform.codec, settings.agent.service
        )

    async def start(self):
        """Start the metrics page and all background tasks."""
        await self._metrics.start()
        self._peers.start(self._neighbours)
        self._tasks = [
            asyncio.create_task(self._follow_versions()),
            asyncio.create_task(self._run()),
            asyncio.create_task(self._ping()),
            asyncio.create_task(self._check_engine()),
            asyncio.create_task(self._check_keepers()),
        ]

    async def _follow_versions(self):
        """Start to follow versions, through an entry if one is found."""
        await self._neighbours.wait_for_entry(ENTRY_WAIT_S)
        self._versions.start(self._neighbours)

    async def drain(self):
        """Stop all tasks, so that no more orders are given."""
        loads = self._load_tasks_by_model.values()
        await tasks.stop(*self._tasks, *loads, *self._notice_tasks)
        await self._peers.stop()
        await self._versions.stop()

    async def abort(self):
        """Do nothing, as an agent has no callers whose requests to abort."""

    async def stop(self):
        """Stop all tasks and close all connections."""
        await self.drain()
        await self._metrics.stop()
        await self._store_path.close()
        self._engine.close()
        self._neighbours.close()
        self._notice_sender.close()

    def _gauge_values(self):
        """Return the current `measures.GaugeValue` of each gauge."""
        wanted = [
            measures.GaugeValue("versions_wanted", version, model)
            for model, version in self._versions.wanted_by_model.items()
        ]
        return [*self._store_path.gauge_values(), *wanted]

    async def _ping(self):
        """Ping the store at intervals to detect its loss and recovery.

        While a neighbour feeds the versions, that neighbour checks the
        store, and no pings are sent.
        """
        pinged_at = float("-inf")
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if (
                self._versions.is_fed_by_neighbour
                or self._clock() - pinged_at < PING_INTERVAL_S
            ):
                continue
            pinged_at = self._clock()
            try:
                await self._store.ping()
                self._answered_at = self._clock()
            except exceptions.AnvilwellError as error:
                _LOG.log("store-not-reached", cause=error.message)

    def _has_answered_recently(self):
        """Return whether the store has answered a recent ping."""
        return self._clock() - self._answered_at < PING_FRESHNESS_S

    def _entries_changed(self, live):
        """Update the entries that notices, feeds and relayed calls use."""
        self._store_path.set_peers(live.addresses_by_vm)
        self._neighbours.set_entries(live.candidates_by_vm)
        self._notice_sender.set_entries(
            live.addresses_by_vm, self._neighbours.ranked()
        )

    async def _run(self):
        """Start a load whenever a new version is wanted."""
        while True:
            await self._versions.changed.wait()
            self._versions.changed.clear()
            self._load_all()

    def _load_all(self):
        """Start a load for each model whose loaded version may be outdated."""
        self._load_each(self._versions.wanted_by_model)

    def _load_each(self, models):
        for model in models:
            existing = self._load_tasks_by_model.get(model)
            if existing is None or existing.done():
                task = asyncio.create_task(self._load(model))
                self._load_tasks_by_model[model] = task

    async def _check_engine(self):
        """Load a version again after the engine has lost it.

        An order without an answer may be carried out seconds later. If the
        engine has restarted under the same id by then, and has taken as
        many orders as the late order expects, it accepts that order. Only
        this check detects that its version went back.
        """
        while True:
            await asyncio.sleep(ENGINE_CHECK_INTERVAL_S)
            try:
                report = await self._engine.report()
            except exceptions.AnvilwellError as error:
                _LOG.routine("engine-unreachable", cause=error.message)
                continue
            before = self._loaded_by_model
            if self._has_lost(report):
                _LOG.log(
                    "engine-went-back",
                    replica=report.replica_id,
                    versions=report.version_by_model,
                    before=before,
                )
                self._load_all()

    async def _check_keepers(self):
        """Load models of other engines once this engine has to keep them."""
        while True:
            await asyncio.sleep(KEEPER_CHECK_INTERVAL_S)
            if not self._models_kept_elsewhere:
                continue
            addresses = self._listing.addresses
            if self._listing.age_s > KEEPER_CHECK_INTERVAL_S:
                addresses = await self._addresses()
            if addresses:
                kept = {
                    model
                    for model in self._models_kept_elsewhere
                    if self._load_position(
                        model, self._loaded_by_model, addresses
                    )
                }
                self._models_kept_elsewhere -= kept
                self._load_each(kept)

    def _load_position(self, model, version_by_model, addresses):
        """Return the engine's `loading.LoadPosition` for a model."""
        wanted = set(self._versions.wanted_by_model)
        models = wanted.intersection(version_by_model)
        return loading.load_position(self._backend, model, models, addresses)

    def _has_lost(self, report):
        """Record an engine report; return whether it shows a lost version."""
        incarnation = (report.replica_id, report.started_ms)
        is_other = self._engine_incarnation not in (None, incarnation)
        is_behind = any(
            version < self._loaded_by_model.get(model, 0)
            for model, version in report.version_by_model.items()
        )
        self._engine_incarnation = incarnation
        self._loaded_by_model = dict(report.version_by_model)
        return is_other or is_behind

    async def _addresses(self):
        """Return the addresses of all engines of this agent's service."""
        return await self._listing.find(self._notice_sender.engine_digest)

    async def _load(self, model):
        """Give orders until the wanted version is loaded or skipped.

        A version that is named meanwhile is handled as well.
        """
        settled_version = 0
        while settled_version < self._versions.wanted_by_model[model]:
            settled_version = self._versions.wanted_by_model[model]
            wait_s = await self._load_delay_s(model)
            if wait_s is None:
                continue
            await asyncio.sleep(wait_s)
            report = await self._loader.load(
                model,
                lambda: True,
                lambda ordered: self._announce_load(model, ordered),
            )
            settled_version = report.version_by_model.get(
                model, settled_version
            )
            self._loading_models.discard(model)
            await self._notice_sender.send(self._notice(report))

    def _announce_load(self, model, report):
        """Notify entries that the engine loads `model`.

        The notice holds the versions of the report before the order.
        """
        self._loading_models.add(model)
        self._keep_task(self._notice_sender.send(self._notice(report)))

    async def _load_delay_s(self, model):
        """Return the seconds to wait before a load, None for no load."""
        wanted = self._versions.wanted_by_model[model]
        try:
            report = await self._engine.report()
        except exceptions.AnvilwellError as error:
            _LOG.log("engine-unreachable", cause=error.message)
            return 0.0
        had = report.version_by_model.get(model, wanted)
        lag_task = self._keep_task(self._learn_lag(model, wanted, report))
        if had >= wanted:
            self._models_kept_elsewhere.discard(model)
            return None
        addresses = await self._addresses()
        if model not in self._lags_by_model:
            # If the lag were not known first, all engines would load a
            # trainer's first version.
            await lag_task
        lag = self._lags_by_model.get(model)
        position = self._load_position(
            model, report.version_by_model, addresses
        )
        if position is None:
            self._models_kept_elsewhere.add(model)
        else:
            self._models_kept_elsewhere.discard(model)
        wait_s = loading.load_delay_s(had, wanted, lag, position)
        if wait_s is None:
            _LOG.log(
                "version-skipped",
                model=model,
                version=wanted,
                had=had,
                lag=lag,
                rank=position and position.rank,
                replicas=position and position.replicas,
            )
        return wait_s

    async def _learn_lag(self, model, wanted, report):
        """Record how many versions behind a step's items may be generated.

        The lag is the wanted version less the oldest version that the
        newest batch of the model accepts. The smallest lag seen counts: a
        step that is submitted late allows fewer versions behind the newest.
        """
        await asyncio.sleep(loading.FIRST_LOAD_DELAY_S)
        min_versions_by_model = await self._notice_sender.send(
            self._notice(report)
        )
        if model in min_versions_by_model:
            lag = max(0, wanted - min_versions_by_model[model])
            existing = self._lags_by_model.get(model, lag)
            self._lags_by_model[model] = min(existing, lag)

    def _notice(self, report):
        """Return a `notices.Notice` of the loaded and loading versions."""
        loaded = tuple(
            facts.ModelVersion(model, version)
            for model, version in report.version_by_model.items()
        )
        address = str(self._backend)
        loading_now = tuple(sorted(self._loading_models))
        return notices.Notice(address, loaded, loading_now, report.started_ms)

    def _keep_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._notice_tasks.add(task)
        task.add_done_callback(self._notice_tasks.discard)
        return task
