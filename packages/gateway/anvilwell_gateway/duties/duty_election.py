"""Elects one entry at a time as the holder of a duty.

Each holder has a fencing number, which rises with every election. The holder's
key is attached to the lease of the entry's live key. So it needs no renewal of
its own, and an entry that counts as dead has lost its duties as well.

The platform may not check fencing numbers. Therefore a holder acts only while
its lease is certain to hold, by a clock that also advances during suspension.
A new holder waits until the previous one can have no call under way.
"""

import asyncio

from anvilwell_decisions.duties import rendezvous
from anvilwell_decisions.leases import leadership
from anvilwell_gateway import cluster_state as cluster_states
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = f"{cluster_states.PREFIX}duty/"
# Seconds between checks whether the duty is vacant.
POLL_INTERVAL_S = 0.3
# Each candidate waits this many seconds longer than the one ranked before
# it. That is several times the duration of a takeover, so that entries
# seldom write at the same time.
RANK_DELAY_S = 1.0
# Seconds that a process waits after its start for others that start at the
# same time, so that the candidates are ranked alike.
STARTUP_WAIT_S = 1.0

_LOG = logs.get_logger(__name__)


class DutyTenure:
    """The term during which this process holds a duty.

    Parameters
    ----------
    leadership_tenure : leadership.Tenure
        Its fencing number and lease.
    vm_id : str
        Id of this VM.
    may_act_at : float
        Time by `clock` from which the holder may act.
    session : session.Session
        The session that renews the lease.
    clock : callable
        Returns a time in seconds that also advances during suspension.
    """

    def __init__(self, leadership_tenure, vm_id, may_act_at, session, clock):
        self._leadership_tenure = leadership_tenure
        self._may_act_at = may_act_at
        self._session = session
        self._clock = clock
        self.vm_id = vm_id

    @property
    def fencing(self):
        """The fencing number of this tenure."""
        return self._leadership_tenure.fencing

    @property
    def is_over(self):
        """Whether the session now has another lease than this tenure."""
        return self._session.lease != self._leadership_tenure.lease

    def check(self):
        """Check that the holder may act; call right before each act.

        Raises
        ------
        exceptions.Fenced
            If another VM may hold the duty, or may have acted just before.
        """
        now = self._clock()
        leadership.check_tenure(self._leadership_tenure, self._session, now)
        if now < self._may_act_at:
            raise exceptions.Fenced(
                "a call of the previous holder may still arrive",
                reason=reasons.Refusal.NOT_LEADER,
            )


class Duty:
    """A duty, and this process's part in its election.

    Parameters
    ----------
    name : str
        Name of the duty.
    store : store.AsyncStore
        The store that has the holder's key.
    presence : presence.Presence
        The registration of this process, with its lease.
    cluster_state : cluster_state.ClusterState
        The live entries; it also passes on changes of the holder's key.
    handover_gap_s : float
        Least time between the acts of successive holders, in seconds.
    """

    def __init__(self, name, store, presence, cluster_state, handover_gap_s):
        self._name = name
        self._store = store
        self._presence = presence
        self._cluster_state = cluster_state
        self._handover_gap_s = handover_gap_s
        self._clock = asyncio.get_running_loop().time
        self._keys = leadership.keys(name, PREFIX)
        self._leadership = leadership.Leadership(name, presence.vm_id, PREFIX)
        self._vacant_since = self._clock() + STARTUP_WAIT_S
        self._is_vacant = False
        self._task = None
        self._holder = None
        # The fencing number of the last holder that this process observed.
        self._last_fencing = 0
        self.tenure = None
        cluster_state.delegate_prefix(self._keys.prefix, self)

    @property
    def holder(self):
        """The id of the VM that holds the duty, None if unknown."""
        if self.tenure and not self.tenure.is_over:
            return self._presence.vm_id
        return self._holder

    def start(self):
        """Start to check for a vacant duty."""
        self._task = asyncio.create_task(self._poll_forever())

    async def stop(self):
        """Stop the checks; a duty that is held ends with the lease."""
        task, self._task = self._task, None
        await tasks.stop(task)

    def load(self, entries_by_key):
        """Read the holder in the store."""
        entry = entries_by_key.get(self._keys.holder)
        self._update_holder(entry and entry.value)

    def change(self, change):
        """Read a change of the holder."""
        if change.key == self._keys.holder:
            self._update_holder(change.value)

    def _update_holder(self, value):
        self._holder = None
        if value is None:
            if not self._is_vacant:
                self._vacant_since = max(self._vacant_since, self._clock())
            self._is_vacant = True
            return
        self._is_vacant = False
        try:
            found = leadership.HOLDER_ADAPTER.validate_json(value)
        except ValueError as error:
            _LOG.log("holder-unreadable", duty=self._name, cause=str(error))
            return
        self._holder = found.vm_id
        self._last_fencing = found.fencing

    async def _poll_forever(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                await self._take_if_vacant()
            except exceptions.AnvilwellError as error:
                _LOG.log("duty-not-taken", duty=self._name, cause=str(error))

    async def _take_if_vacant(self):
        """Take the duty if it is vacant and this candidate's wait is over."""
        if self.tenure and self.tenure.is_over:
            _LOG.log("duty-lost", duty=self._name, fencing=self.tenure.fencing)
            self.tenure = None
        if self.tenure or self._holder or not self._cluster_state.is_loaded:
            return
        now = self._clock()
        if self._presence.session.is_held(now) and self._is_our_turn(now):
            await self._take()

    def _is_our_turn(self, now):
        mine = self._presence.vm_id
        ranked = rendezvous.rank_vms(
            self._name, {*self._cluster_state.incarnations_by_vm, mine}
        )
        delay_s = RANK_DELAY_S * ranked.index(mine)
        return now >= self._vacant_since + delay_s

    async def _take(self):
        lease = self._presence.session.lease
        snapshot = await self._store.get_prefix(self._keys.prefix)
        found = snapshot.entries_by_key
        standing = self._leadership.standing(found, lease)
        if standing is leadership.Standing.OTHERS:
            self._update_holder(found[self._keys.holder].value)
            return
        if standing is leadership.Standing.OURS:
            leadership_tenure = self._leadership.read_tenure(found, lease)
        else:
            writes = self._leadership.takeover_writes(found, lease)
            result = await self._store.swap(
                [keyvalue.Swap(*write) for write in writes]
            )
            if not result.landed:
                return
            leadership_tenure = self._leadership.won_tenure(writes, lease)
        _LOG.log(
            "duty-taken", duty=self._name, fencing=leadership_tenure.fencing
        )
        self.tenure = DutyTenure(
            leadership_tenure,
            self._presence.vm_id,
            self._may_act_at(leadership_tenure.fencing),
            self._presence.session,
            self._clock,
        )

    def _may_act_at(self, fencing):
        """Return the time from which the holder with `fencing` may act.

        The gap starts when this process detected that the previous holder was
        gone, as that holder did not act after its lease ended. If this process
        did not observe the previous holder, the gap starts now.
        """
        now = self._clock()
        if fencing == 1:
            return now
        has_seen = self._last_fencing == fencing - 1
        since = self._vacant_since if has_seen else now
        return max(now, since + self._handover_gap_s)
