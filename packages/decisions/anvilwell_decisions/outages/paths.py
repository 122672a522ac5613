"""Chooses the way to the key-value service: direct, or through a peer."""

# The path that needs no peer.
DIRECT = ""
# One lost answer is no outage. Two in a row take 1.1 s of renewals, and
# the lease of 3.5 s then still has a second for the way through a peer.
FAILURES = 2
# A peer that failed is left out for so long, in seconds: about what it
# takes to try two others, so that each is tried before it again.
PAUSE_S = 1.0
# Once every peer has failed too, the outage is everybody's: the direct path
# is kept for so long, in seconds. Without this a VM takes ten paths a second
# while the service is down, each with its line in the log.
HOLD_S = 3.0


class PathChoice:
    """Leaves a path that fails, and goes back once the direct one works.

    Parameters
    ----------
    rng : random.Random
        Spreads the VMs that lost their way over their peers.
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
        """Take in which VMs may help; return whether the path changed."""
        self._peers = frozenset(vm_ids)
        if self.current in self._peers | {DIRECT}:
            return False
        self.current = DIRECT
        return True

    def answered(self, path):
        """Note an answer that came by `path`; return if that changes it.

        Any answer by the direct path ends the way through a peer.
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
        """Note a failure on `path`; return whether the path changed.

        Calls that were under way together and end together, such as the
        watches that a service cuts, are one failure.

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
            self._paused_until_by_vm[path] = now + PAUSE_S
        if path != self.current or began_at < self._failed_at:
            return False
        self._failed_at = now
        self._failures += 1
        is_kept = self._failures < FAILURES or now < self._held_until
        if path == DIRECT and is_kept:
            return False
        self._failures = 0
        self.current = self._next(now)
        if self.current == DIRECT:
            self._held_until = now + HOLD_S
        return self.current != path

    def _next(self, now):
        usable = sorted(
            vm_id
            for vm_id in self._peers
            if self._paused_until_by_vm.get(vm_id, now) <= now
        )
        return self._rng.choice(usable) if usable else DIRECT
