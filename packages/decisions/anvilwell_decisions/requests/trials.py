"""Limits trials of a suspect request to one at a time.

A request that may crash replicas is tried again after a pause, which ends for
all entries and callers at the same time. Without this limit, each entry could
crash one more replica before the other entries are notified.
"""

import typing

# A trial is one attempt to run a suspect request at a replica. If its end is
# not reported, it expires after this many seconds.
MAX_TRIAL_S = 5.0
# Delay of a request that is refused during another trial, in seconds.
RETRY_WAIT_S = 1.0


class _Trial(typing.NamedTuple):
    """A trial of a suspect request, and when it expires."""

    trial_id: str
    until: float


class Trials:
    """The trials of suspect requests. Times are in seconds of one clock."""

    def __init__(self):
        self._trials_by_fingerprint = {}

    def begin(self, fingerprint, trial_id, now):
        """Begin the trial `trial_id`, if no other trial is in progress.

        Returns 0 if it may run, else the seconds after which to ask again.
        """
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
        """End the trial `trial_id`, if it is the one in progress."""
        trial = self._trials_by_fingerprint.get(fingerprint)
        if trial and trial.trial_id == trial_id:
            del self._trials_by_fingerprint[fingerprint]
