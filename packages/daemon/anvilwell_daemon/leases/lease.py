"""A leadership that this daemon holds until its lease expires."""

import asyncio

from anvilwell_decisions.leases import leadership


class Lease:
    """Permits actions outside this process while the leadership lasts.

    The key-value lease behind it is shared by all leaderships of the
    daemon.

    Parameters
    ----------
    tenure : leadership.Tenure
        The term of leadership that was won, with its fencing number.
    session : session.Session
        The daemon's key-value lease.
    clock : clock.Clock
        Monotonic clock that keeps counting while the VM is suspended.
    """

    def __init__(self, tenure, session, clock):
        self.name = tenure.name
        self.fencing = tenure.fencing
        self._tenure = tenure
        self._session = session
        self._clock = clock
        self._lost = asyncio.Event()

    @property
    def is_valid(self):
        """Whether ``check`` would pass now."""
        return not self._lost.is_set() and self._session_allows()

    def check(self, now=None):
        """Check that the leadership still holds.

        Call it right before each action outside this process.

        Parameters
        ----------
        now : float, optional
            Monotonic seconds; read from the clock if omitted.

        Raises
        ------
        exceptions.Fenced
            If the lease expires within the safety margin or has
            expired: the action must not be taken.
        """
        now = self._clock.monotonic() if now is None else now
        leadership.check_tenure(self._tenure, self._session, now)

    async def lost(self):
        """Return once the leadership is lost permanently."""
        await self._lost.wait()

    def is_under(self, lease):
        """Return whether it was won under the key-value lease `lease`."""
        return self._tenure.lease == lease

    def end(self):
        """Mark the leadership as permanently lost."""
        self._lost.set()

    def _session_allows(self):
        is_held = self._session.is_held(self._clock.monotonic())
        return is_held and self.is_under(self._session.lease)
