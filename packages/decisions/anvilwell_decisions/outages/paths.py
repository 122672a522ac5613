"""Chooses the path to the key-value service: direct, or through a peer."""

# The path that uses no peer.
DIRECT = ""
# Number of consecutive failures after which the direct path is left; one lost
# response is no outage. Two failed renewals of the lease take 1.1 s, so that
# the lease of 3.5 s has a second left for the path through a peer.
FAILURES_TO_SWITCH = 2
# A peer that failed is not used for this many seconds. That is about the time
# to try two other peers, so that these are tried before the first one again.
PEER_PAUSE_S = 1.0
# Once every peer has failed too, the outage affects all VMs, and the direct
# path is kept for this long, in seconds. Without this a VM would try ten paths
# a second while the service is down, each with a line in the log.
DIRECT_HOLD_S = 3.0


class PathSelector:
    """Replaces a failing path; returns to the direct one once that works.

    Parameters
    ----------
    rng : random.Random
        Chooses among peers, so that VMs without a direct path spread over
        them.
    """

    def __init__(self, rng):
        self._rng = rng
        self._peers = frozenset()
        self._paused_until_by_vm = {}
        self._failures = 0
        self._failed_at = float("-inf")
        self._held_until = float("-inf")
        self.current = DIRECT

    def set_peers(self, vm_ids):
        """Set the peers that may relay; return whether the path changed."""
        self._peers = frozenset(vm_ids)
        if self.current in self._peers | {DIRECT}:
            return False
        self.current = DIRECT
        return True

    def path_through(self, is_permitted, now):
        """Return the path for a call that only some peers may relay.

        It is the direct path if none of these peers can be used, though that
        path is failing.

        Parameters
        ----------
        is_permitted : callable
            Returns whether a peer may relay the call.
        now : float
            Monotonic time, s.
        """
        if self.current == DIRECT or is_permitted(self.current):
            return self.current
        return self._choose_path(now, is_permitted)

    def answered(self, path):
        """Record a response on `path`; return whether `current` changed.

        Any response on the direct path ends the use of a peer.
        """
        if path == self.current:
            self._failures = 0
            return False
        if path != DIRECT:
            return False
        self.current = DIRECT
        self._failures = 0
        return True

    def failed(self, path, began_at, now):
        """Record a failure on `path`; return whether `current` changed.

        Calls that were in progress together and end together, such as watches
        that the service closes, count as one failure.

        Parameters
        ----------
        path : str
            `DIRECT` or the id of a peer.
        began_at : float
            When the call was made; monotonic time, s.
        now : float
            Monotonic time, s.
        """
        if path != DIRECT:
            self._paused_until_by_vm[path] = now + PEER_PAUSE_S
        if path != self.current or began_at < self._failed_at:
            return False
        self._failed_at = now
        self._failures += 1
        is_kept = self._failures < FAILURES_TO_SWITCH or now < self._held_until
        if path == DIRECT and is_kept:
            return False
        self._failures = 0
        self.current = self._choose_path(now)
        if self.current == DIRECT:
            self._held_until = now + DIRECT_HOLD_S
        return self.current != path

    def _choose_path(self, now, is_permitted=lambda vm_id: True):
        usable = sorted(
            vm_id
            for vm_id in self._peers
            if self._paused_until_by_vm.get(vm_id, now) <= now
            and is_permitted(vm_id)
        )
        return self._rng.choice(usable) if usable else DIRECT
