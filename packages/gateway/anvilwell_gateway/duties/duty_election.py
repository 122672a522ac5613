"""Holds a duty: one entry at a time, with a number that rises.

The duty goes with the lease of the entry's live key, so it costs no
renewal of its own, and whoever is taken for dead has lost its duties too.
The platform need not check numbers. So a holder acts only while its lease
must still hold by a clock that counts suspension, and who takes a duty
after another waits until the other can have nothing under way.
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
# Between looks at who holds the duty, in seconds.
POLL_INTERVAL_S = 0.3
# The next candidate tries so much later, in seconds: several times what a
# take-over takes, so that entries seldom write at once.
RANK_DELAY_S = 1.0
# A process that starts waits so long for the others that start with it.
STARTUP_WAIT_S = 1.0

_LOG = logs.get_logger(__name__)


class Tenure:
    """A duty that this process holds.

    Parameters
    ----------
    won : leadership.Tenure
        Its number and lease.
    vm_id : str
        This VM.
    free_at : float
        From when on the holder may act, by `clock`.
    session : session.Session
        Until when its lease holds.
    clock : callable
        Returns a time that counts suspension, in seconds.
    """

    def __init__(self, leadership_tenure, vm_id, may_act_at, session, clock):
        self._leadership_tenure = leadership_tenure
        self._may_act_at = may_act_at
        self._session = session
        self._clock = clock
        self.vm_id = vm_id

    @property
    def fencing(self):
        """The number of this tenure."""
        return self._leadership_tenure.fencing

    @property
    def is_over(self):
        """Whether the lease is known to be another one by now."""
        return self._session.lease != self._leadership_tenure.lease

    def check(self):
        """Allow one outward act; call right before each.

        Raises
        ------
        exceptions.Fenced
            If another may hold the duty, or have acted just before.
        """
        now = self._clock()
        leadership.check_tenure(self._leadership_tenure, self._session, now)
        if now < self._may_act_at:
            raise exceptions.Fenced(
                "what the holder before has sent may still arrive",
                reason=reasons.Refusal.NOT_LEADER,
            )


class Duty:
    """One duty, whoever holds it.

    Parameters
    ----------
    name : str
        Of the duty.
    store : store.AsyncStore
        Where its holder's key lies.
    presence : presence.Presence
        This process and its lease.
    cluster_state : cluster_state.ClusterState
        Who lives, and what changes.
    turn_s : float
        Least time between acts of holders that take turns, in seconds.
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
        # The number of the last holder that was seen here.
        self._last_fencing = 0
        self.tenure = None
        cluster_state.delegate_prefix(self._keys.prefix, self)

    @property
    def holder(self):
        """The VM that holds the duty as far as is known here, or None."""
        if self.tenure and not self.tenure.is_over:
            return self._presence.vm_id
        return self._holder

    def start(self):
        """Begin to look."""
        self._task = asyncio.create_task(self._poll_forever())

    async def stop(self):
        """Take the duty no more; it ends with this process's lease."""
        task, self._task = self._task, None
        await tasks.stop(task)

    def load(self, entries_by_key):
        """Take what the store tells of the holder."""
        entry = entries_by_key.get(self._keys.holder)
        self._update_holder(entry and entry.value)

    def change(self, change):
        """Take a change of the holder."""
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
        """Take the duty if nobody has it and it is our turn."""
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
        self.tenure = Tenure(
            leadership_tenure,
            self._presence.vm_id,
            self._may_act_at(leadership_tenure.fencing),
            self._presence.session,
            self._clock,
        )

    def _may_act_at(self, fencing):
        """Return from when on the holder with this number may act.

        The turn counts from when the holder before was seen to be gone, as
        it did nothing more from then on. Who did not see that holder counts
        from now.
        """
        now = self._clock()
        if fencing == 1:
            return now
        has_seen = self._last_fencing == fencing - 1
        since = self._vacant_since if has_seen else now
        return max(now, since + self._handover_gap_s)
