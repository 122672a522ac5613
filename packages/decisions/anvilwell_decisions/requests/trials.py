"""Lets a request that may end replicas be tried once at a time.

Its pause ends at all entries at once, and its callers were all told when.
Without this each entry lets it end one more replica before any has told
the others.
"""

import typing

# A trial that nobody says is over counts as under way for so long.
MAX_TRIAL_S = 5.0
# When a request may ask again that was refused for another's trial.
RETRY_WAIT_S = 1.0


class _Trial(typing.NamedTuple):
    trial_id: str
    until: float


class Trials:
    """The trials under way. Times are in seconds of one clock."""

    def __init__(self):
        self._trials_by_fingerprint = {}

    def begin(self, fingerprint, trial_id, now):
        """Return 0 if `trier` may try, else when to ask again, in seconds."""
        self._trials_by_fingerprint = {
            key: trial
            for key, trial in self._trials_by_fingerprint.items()
            if trial.until > now
        }
        trial = self._trials_by_fingerprint.setdefault(
            fingerprint, _Trial(trial_id, now + MAX_TRIAL_S)
        )
        return 0.0 if trial.trial_id == trial_id else RETRY_WAIT_S

    def end(self, fingerprint, trial_id):
        """Note that the trial of `trier` is over, if it was one."""
        trial = self._trials_by_fingerprint.get(fingerprint)
        if trial and trial.trial_id == trial_id:
            del self._trials_by_fingerprint[fingerprint]
