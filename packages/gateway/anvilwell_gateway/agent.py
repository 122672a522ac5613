"""An agent: moves the engine beside it to the version asked for.

Its orders go first: an entry gives some only once it has not heard the
agent for seconds, and the claim in the store says whose turn it is.
"""

import asyncio

from anvilwell_decisions.batches import loading
from anvilwell_decisions.traffic import facts
from anvilwell_gateway import claims
from anvilwell_gateway import cluster_state
from anvilwell_gateway import engine_listing
from anvilwell_gateway import measures
from anvilwell_gateway import metrics_page
from anvilwell_gateway import moving
from anvilwell_gateway import neighbours
from anvilwell_gateway import notices
from anvilwell_gateway import tasks
from anvilwell_gateway import versions
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Between the calls that show whether the store is there, in seconds. A
# version is to be in force two seconds after it was named.
PING_S = 1.0
# Between looks whether a ping is due: the first is at once when the entry
# that tells what changes says that it lost the store.
LOOK_S = 0.1
# A ping that was answered so lately shows that the store is there.
ANSWERED_S = 0.5
# Versions are followed at the store itself if no entry is known by then.
FIRST_WAIT_S = 0.5
# Between looks whether the engine lost a version, by a restart or an order
# that was carried out late. Its own VM is answered for free.
WATCH_S = 1.0
# Between looks whether engines have gone that keep the models which this one
# does not, in seconds. They are seldom all gone at once; until the next
# version is named, nobody else would have theirs. The registrations are read
# for that only if they were not for a version named meanwhile.
KEEPERS_S = 5.0

_LOG = logs.get_logger(__name__)


class Agent:
    """Keeps one engine at the wanted versions.

    Parameters
    ----------
    settings : config.Settings
        Names and addresses.
    platform : platforms.Platform
        The adapter to the platform.
    """

    def __init__(self, settings, platform):
        self._vm_id = settings.daemon.vm_id
        self._clock = asyncio.get_running_loop().time
        self._backend = settings.agent.backend
        self._engine = platform.engine_at(settings.agent.backend)
        self._store = platform.store
        self._store_path = platform.store_path
        self._versions = versions.Versions(platform.store, platform.codec)
        self._peers = cluster_state.EntryFollower(
            platform.store, self._entries_changed
        )
        self._mover = moving.Mover(
            self._engine,
            self._backend,
            self._vm_id,
            claims.Claims(platform.store, self._vm_id),
            self._versions,
        )
        self._life = None
        self._seen_by_model = {}
        # An agent holds no lease: whether it is in touch shows in a ping.
        self._pinged_at = float("-inf")
        self._neighbours = neighbours.Neighbours(
            self._vm_id,
            settings.daemon.failure_domain,
            self._is_answered,
            str(self._backend),
        )
        self._metrics = metrics_page.MetricsPage(
            settings.metrics, self._gauge_values
        )
        self._tasks = []
        self._moves_by_model = {}
        self._notice_sender = notices.NoticeSender()
        self._telling = set()
        self._loading = set()
        self._lags_by_model = {}
        # The models that other engines keep.
        self._left_out = set()
        self._listing = engine_listing.EngineListing(
            platform.store, platform.codec, settings.agent.service
        )

    async def start(self):
        """Begin to follow and order."""
        await self._metrics.start()
        self._peers.start(self._neighbours)
        self._tasks = [
            asyncio.create_task(self._follow_versions()),
            asyncio.create_task(self._run()),
            asyncio.create_task(self._ping()),
            asyncio.create_task(self._watch_engine()),
            asyncio.create_task(self._watch_keepers()),
        ]

    async def _follow_versions(self):
        """Follow by an entry from the start, if there is one."""
        await self._neighbours.wait_for_entry(FIRST_WAIT_S)
        self._versions.start(self._neighbours)

    async def drain(self):
        """Give no order any more."""
        moves = self._moves_by_model.values()
        await tasks.stop(*self._tasks, *moves, *self._telling)
        await self._peers.stop()
        await self._versions.stop()

    async def cut(self):
        """Do nothing: nobody waits for an agent's answer."""

    async def stop(self):
        """Release everything."""
        await self.drain()
        await self._metrics.stop()
        await self._store_path.close()
        self._engine.close()
        self._neighbours.close()
        self._notice_sender.close()

    def _gauge_values(self):
        """Return each `measures.GaugeValue` as of now."""
        wanted = [
            measures.GaugeValue("versions_wanted", version, model)
            for model, version in self._versions.wanted_by_model.items()
        ]
        return [*self._store_path.gauge_values(), *wanted]

    async def _ping(self):
        """Have the store notice when it is lost and back.

        A neighbour that tells of versions vouches for the store itself.
        """
        pinged_at = float("-inf")
        while True:
            await asyncio.sleep(LOOK_S)
            if (
                self._versions.is_fed_by_neighbour
                or self._clock() - pinged_at < PING_S
            ):
                continue
            pinged_at = self._clock()
            try:
                await self._store.ping()
                self._pinged_at = self._clock()
            except exceptions.AnvilwellError as error:
                _LOG.log("store-not-reached", cause=error.message)

    def _is_answered(self):
        """Return whether the store answers this process."""
        return self._clock() - self._pinged_at < ANSWERED_S

    def _entries_changed(self, live):
        """Take in which entries are there: for notices, news and help."""
        self._store_path.set_peers(live.addresses_by_vm)
        self._neighbours.set_entries(live.candidates_by_vm)
        self._notice_sender.set_entries(
            live.addresses_by_vm, self._neighbours.ranked()
        )

    async def _run(self):
        """Have one task for each model whose version has changed."""
        while True:
            await self._versions.news.wait()
            self._versions.news.clear()
            self._move_all()

    def _move_all(self):
        """Have one task for each model that may be behind."""
        self._move_each(self._versions.wanted_by_model)

    def _move_each(self, models):
        for model in models:
            known = self._moves_by_model.get(model)
            if known is None or known.done():
                move = asyncio.create_task(self._move(model))
                self._moves_by_model[model] = move

    async def _watch_engine(self):
        """Move the engine again after it has lost a version.

        An order without an answer may be carried out seconds later. If the
        engine has started again under its id by then, and has taken as
        many orders as the late one expects, nothing else guards it.
        """
        while True:
            await asyncio.sleep(WATCH_S)
            try:
                report = await self._engine.report()
            except exceptions.AnvilwellError as error:
                _LOG.routine("engine-unreachable", cause=error.message)
                continue
            before = self._seen_by_model
            if self._has_lost(report):
                _LOG.log(
                    "engine-went-back",
                    replica=report.replica_id,
                    versions=report.version_by_model,
                    before=before,
                )
                self._move_all()

    async def _watch_keepers(self):
        """Move the engine to what others kept once it is to keep that."""
        while True:
            await asyncio.sleep(KEEPERS_S)
            if not self._left_out:
                continue
            addresses = self._listing.addresses
            if self._listing.age_s > KEEPERS_S:
                addresses = await self._addresses()
            if addresses:
                kept = {
                    model
                    for model in self._left_out
                    if self._place(model, self._seen_by_model, addresses)
                }
                self._left_out -= kept
                self._move_each(kept)

    def _place(self, model, version_by_model, addresses):
        """Return the engine's `loading.LoadPosition` for a model."""
        wanted = set(self._versions.wanted_by_model)
        models = wanted.intersection(version_by_model)
        return loading.load_position(self._backend, model, models, addresses)

    def _has_lost(self, report):
        """Take in a report; return whether its engine lost a version."""
        life = (report.replica_id, report.started_ms)
        is_other = self._life not in (None, life)
        is_behind = any(
            version < self._seen_by_model.get(model, 0)
            for model, version in report.version_by_model.items()
        )
        self._life = life
        self._seen_by_model = dict(report.version_by_model)
        return is_other or is_behind

    async def _addresses(self):
        """Return the addresses of all engines of the service."""
        return await self._listing.find(self._notice_sender.engine_digest)

    async def _move(self, model):
        """Order until each version wanted is there or skipped."""
        settled = 0
        while settled < self._versions.wanted_by_model[model]:
            settled = self._versions.wanted_by_model[model]
            wait_s = await self._wait_s(model)
            if wait_s is None:
                continue
            await asyncio.sleep(wait_s)
            report = await self._mover.move(
                model,
                lambda: True,
                lambda ordered: self._ordered(model, ordered),
            )
            settled = report.version_by_model.get(model, settled)
            self._loading.discard(model)
            await self._notice_sender.send(self._notice(report))

    def _ordered(self, model, report):
        """Tell that the engine loads, from what it said before."""
        self._loading.add(model)
        self._keep_task(self._notice_sender.send(self._notice(report)))

    async def _wait_s(self, model):
        """Return how long to wait before a load, None for no load now."""
        wanted = self._versions.wanted_by_model[model]
        try:
            report = await self._engine.report()
        except exceptions.AnvilwellError as error:
            _LOG.log("engine-unreachable", cause=error.message)
            return 0.0
        had = report.version_by_model.get(model, wanted)
        learning = self._keep_task(self._learn_lag(model, wanted, report))
        if had >= wanted:
            self._left_out.discard(model)
            return None
        addresses = await self._addresses()
        if model not in self._lags_by_model:
            # Without it all engines would load a trainer's first version:
            # 30 loads beyond the free ones in a day of 31 engines.
            await learning
        lag = self._lags_by_model.get(model)
        place = self._place(model, report.version_by_model, addresses)
        if place is None:
            self._left_out.add(model)
        else:
            self._left_out.discard(model)
        wait_s = loading.load_delay_s(had, wanted, lag, place)
        if wait_s is None:
            _LOG.log(
                "version-skipped",
                model=model,
                version=wanted,
                had=had,
                lag=lag,
                rank=place and place.rank,
                replicas=place and place.replicas,
            )
        return wait_s

    async def _learn_lag(self, model, wanted, report):
        """Learn how old the weights may be that a step's items get.

        The shortest one that was seen counts: a step that comes when its
        trainer is late allows fewer versions behind the newest.
        """
        await asyncio.sleep(loading.FIRST_LOAD_DELAY_S)
        min_versions_by_model = await self._notice_sender.send(
            self._notice(report)
        )
        if model in min_versions_by_model:
            lag = max(0, wanted - min_versions_by_model[model])
            known = self._lags_by_model.get(model, lag)
            self._lags_by_model[model] = min(known, lag)

    def _notice(self, report):
        """Return what the engine has, and what it loads."""
        loaded = tuple(
            facts.ModelVersion(model, version)
            for model, version in report.version_by_model.items()
        )
        address = str(self._backend)
        loading_now = tuple(sorted(self._loading))
        return notices.Notice(address, loaded, loading_now, report.started_ms)

    def _keep_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)
        return task
