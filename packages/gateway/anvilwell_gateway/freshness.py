"""Tells up to when the local copy of a prefix is known to be complete.

A process that renews its lease need not hear of a change: after a watch has
returned, changes are collected for a while; the next watch may be refused; and
a process that is cut off sees that only as its next call is not answered. The
age of a copy is bounded instead, whatever the cause.
"""

import asyncio
import typing

# Age from which a copy is no longer served, in seconds. It allows for the
# longest time in which changes are collected, and for a renewal of the lease
# that is lost once.
MAX_AGE_S = 1.3


class StoreContact(typing.NamedTuple):
    """How a process learns whether the store answers it.

    ``answered_at`` returns the loop time of the last answer to any call, and
    ``check`` makes the cheapest call soon. ``check_interval_s`` is how often
    it is made anyway, in seconds.
    """

    answered_at: typing.Callable
    check: typing.Callable
    check_interval_s: float


class Freshness:
    """The time up to which a copy of one prefix has all changes.

    While a watch waits at a store that answers, that is the time of its last
    answer to any call. Otherwise it stands still.

    Parameters
    ----------
    contact : StoreContact
        Whether the store answers.
    """

    def __init__(self, contact):
        self._contact = contact
        self._clock = asyncio.get_running_loop().time
        self._complete_at = float("-inf")
        self._watched_since = None

    @property
    def complete_at(self):
        """The loop time up to which no change can be missing."""
        answered_at = self._contact.answered_at()
        is_confirmed = (
            self._watched_since is not None
            and answered_at >= self._watched_since
        )
        return (
            max(self._complete_at, answered_at)
            if is_confirmed
            else self._complete_at
        )

    @property
    def age_s(self):
        """The time since the copy was known to be complete, in seconds."""
        return self._clock() - self.complete_at

    @property
    def expires_at(self):
        """The loop time from which the copy is too old to be served."""
        return self.complete_at + MAX_AGE_S

    @property
    def has_expired(self):
        """Whether the copy is too old to be served."""
        return self._clock() >= self.expires_at

    def received(self, age_s=0.0):
        """Record that all keys, or all changes, were received just now.

        Parameters
        ----------
        age_s : float
            How long ago they were known to be complete, in seconds, if they
            come from another copy.
        """
        self._watched_since = None
        self._complete_at = max(self._complete_at, self._clock() - age_s)

    def watch_began(self):
        """Record that a watch was sent.

        If the copy would expire before a regular call shows that the store
        got it, such a call is made at once.
        """
        self._watched_since = self._clock()
        next_check_at = self._watched_since + self._contact.check_interval_s
        if next_check_at >= self.expires_at:
            self._contact.check()

    def watch_failed(self):
        """Record that the watch ended and returned no changes."""
        self._complete_at = self.complete_at
        self._watched_since = None
