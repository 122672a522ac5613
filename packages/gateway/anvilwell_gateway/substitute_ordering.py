"""Gives orders to engines whose agent is absent or can't be reached.

Without faults only agents give orders. In a deployment without agents, or
while an agent is down or cut off, its engine would keep its version, and
no item that needs a newer version would run there. An entry gives the
orders in that case.
"""

import asyncio

from anvilwell_decisions.batches import loading
from anvilwell_gateway import tasks
from anvilwell_gateway import version_loading
from anvilwell_kernel.telemetry import logs

# Seconds between checks for engines that need an order.
CHECK_INTERVAL_S = 0.5
# Seconds without contact after which an agent counts as absent; a running
# agent requests changes each second. An entry that becomes responsible for
# a failure domain also waits this long first.
AGENT_TIMEOUT_S = 3.0
# A longer gap in seconds between two checks means that this VM itself was
# suspended and could receive nothing, so agents get the full timeout again.
# A check that is late because a core is busy causes a shorter gap.
SUSPENSION_GAP_S = 3 * CHECK_INTERVAL_S

_LOG = logs.get_logger(__name__)


class SubstituteOrderer:
    """Updates engines without an agent in this entry's failure domains.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    directory : directory.Directory
        The registered replicas, whose addresses are those of engines.
    versions : wanted_versions.WantedVersions
        The wanted version of each model.
    neighbours : neighbours.Neighbours
        Says for which failure domains this entry is responsible.
    last_contact_at : callable
        Returns the loop time of the last contact with the agent of the
        engine at an address, or -inf.
    claims : engine_claims.EngineClaims
        Decides whether this VM may give an order.
    engine_at : callable
        Returns the `engine.Engine` at an address.
    min_versions_by_model : callable
        Returns the oldest version that the newest batch of a model takes.
    """

    def __init__(
        self,
        vm_id,
        directory,
        versions,
        neighbours,
        last_contact_at,
        claims,
        engine_at,
        min_versions_by_model,
    ):
        self._vm_id = vm_id
        self._directory = directory
        self._versions = versions
        self._neighbours = neighbours
        self._last_contact_at = last_contact_at
        self._claims = claims
        self._engine_at = engine_at
        self._min_versions_by_model = min_versions_by_model
        self._clock = asyncio.get_running_loop().time
        self._duty_since_by_domain = {}
        self._checked_at = self._clock()
        self._load_tasks_by_key = {}
        self._check_task = None

    def start(self):
        """Start to check the engines at intervals."""
        self._check_task = asyncio.create_task(self._check_forever())

    async def stop(self):
        """Stop the checks and all loads under way."""
        await tasks.stop(self._check_task, *self._load_tasks_by_key.values())

    async def _check_forever(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_engines()

    def check_engines(self):
        """Start a load for each outdated engine without an agent."""
        now = self._clock()
        if now - self._checked_at > SUSPENSION_GAP_S:
            self._duty_since_by_domain = {}
        self._checked_at = now
        replicas = [one for one in self._directory.usable() if one.versions]
        self._update_duties({one.failure_domain for one in replicas})
        if not self._duty_since_by_domain:
            return
        for replica in replicas:
            if not self._may_order(replica):
                continue
            for model, wanted in self._versions.wanted_by_model.items():
                had = _version(replica, model)
                key = (replica.replica_id, model)
                if (
                    had is None
                    or had >= wanted
                    or key in self._load_tasks_by_key
                ):
                    continue
                task = asyncio.create_task(self._load(replica, model, had))
                self._load_tasks_by_key[key] = task
                task.add_done_callback(
                    lambda _, key=key: self._load_tasks_by_key.pop(key, None)
                )

    def _update_duties(self, domains):
        self._duty_since_by_domain = {
            domain: self._duty_since_by_domain.get(domain, self._clock())
            for domain in domains
            if self._neighbours.has_duty(domain)
        }

    def _may_order(self, replica):
        """Return whether the agent of an engine is absent."""
        since = self._duty_since_by_domain.get(replica.failure_domain)
        if since is None:
            return False
        last = max(since, self._last_contact_at(str(replica.address)))
        known = self._directory.replicas_by_id
        return (
            replica.replica_id in known
            and self._directory.may_receive(replica)
            and self._clock() - last > AGENT_TIMEOUT_S
        )

    async def _load(self, replica, model, had):
        wait_s = self._load_delay_s(replica, model, had)
        if wait_s is None:
            return
        await asyncio.sleep(wait_s)
        engine = self._engine_at(replica.address)
        loader = version_loading.VersionLoader(
            engine, replica.address, self._vm_id, self._claims, self._versions
        )
        _LOG.log("stands-in", replica=replica.replica_id, model=model, had=had)
        try:
            await loader.load(
                model, lambda: self._may_order(replica), _ignore_report
            )
        finally:
            engine.close()

    def _load_delay_s(self, replica, model, had):
        """Return the seconds to wait before a load, None for no load."""
        wanted = self._versions.wanted_by_model[model]
        min_version = self._min_versions_by_model().get(model)
        lag = None if min_version is None else max(0, wanted - min_version)
        models = {one.model for one in replica.versions}.intersection(
            self._versions.wanted_by_model
        )
        position = loading.load_position(
            replica.address,
            model,
            models,
            (one.address for one in self._directory.usable(replica.service)),
        )
        return loading.load_delay_s(had, wanted, lag, position)


def _version(replica, model):
    """Return the newest version of `model` at a replica, None for none."""
    versions = [one.version for one in replica.versions if one.model == model]
    return max(versions, default=None)


def _ignore_report(report):
    """Ignore a report; the engine's registration shows its versions."""
