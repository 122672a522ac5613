"""A leadership that this daemon won."""

import asyncio

from anvilwell_decisions.leases import leadership


class Lease:
    """Allows outward acts until its deadline.

    Parameters
    ----------
    tenure : leadership.Tenure
        What was won.
    session : session.Session
        The daemon's key-value lease.
    clock : clock.Clock
        Monotonic time that goes on while the VM is suspended.
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
        """Whether an act would be allowed now."""
        return not self._lost.is_set() and self._session_allows()

    def check(self, now=None):
        """Allow one outward act; call right before each.

        Parameters
        ----------
        now : float, optional
            Monotonic seconds; read from the clock if omitted.

        Raises
        ------
        exceptions.Fenced
            If the deadline less margin has passed: do not act.
        """
        now = self._clock.monotonic() if now is None else now
        leadership.check_tenure(self._tenure, self._session, now)

    async def lost(self):
        """Return once the leadership is lost for good."""
        await self._lost.wait()

    def is_under(self, lease):
        """Return whether it hangs on the key-value lease `lease`."""
        return self._tenure.lease == lease

    def end(self):
        """Note that the leadership is lost for good."""
        self._lost.set()

    def _session_allows(self):
        is_held = self._session.is_held(self._clock.monotonic())
        return is_held and self.is_under(self._session.lease)
