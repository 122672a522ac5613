"""Fair shares of the rate-limited weight store."""

LOADS_PER_S = 20.0
MIN_LOADS_PER_S = 0.5
BURST_S = 1.0
SLOWDOWN_FACTOR = 0.5
RECOVERY_PER_S = 0.05


class LoadGrants:
    """One token bucket for each failure domain with work.

    The total rate is split evenly over the domains that want loads now.
    It halves when engines fail to load and recovers slowly, since the
    store's limit is not known.

    Parameters
    ----------
    loads_per_s : float
        Most loads started a second for this service, all domains.
    """

    def __init__(self, loads_per_s=LOADS_PER_S):
        self._limit = loads_per_s
        self._rate = loads_per_s
        self._tokens_by_domain = {}
        self._filled_at = None

    def fill(self, domains, now):
        """Give tokens for the time since the last call to `domains`."""
        elapsed = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        recovered = self._limit * RECOVERY_PER_S * elapsed
        self._rate = min(self._limit, self._rate + recovered)
        share = self._rate / max(len(domains), 1)
        capacity = max(share * BURST_S, 1.0)
        old = self._tokens_by_domain
        self._tokens_by_domain = {
            domain: min(old.get(domain, 1.0) + share * elapsed, capacity)
            for domain in domains
        }

    def take(self, domain):
        """Take one token of `domain`; return whether there was one."""
        tokens = self._tokens_by_domain.get(domain, 0.0)
        if tokens < 1.0:
            return False
        self._tokens_by_domain[domain] = tokens - 1.0
        return True

    def slow_down(self):
        """Slow down after a failed load."""
        self._rate = max(self._rate * SLOWDOWN_FACTOR, MIN_LOADS_PER_S)
