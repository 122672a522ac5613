"""Limits how fast engines start to load weights from the weight store."""

# Default limit on the loads that are started for one service.
LOADS_PER_S = 20.0
# The rate never falls below this, however many loads fail.
MIN_LOADS_PER_S = 0.5
# A domain's bucket holds the tokens of this time, but at least one token.
BURST_S = 1.0
# The rate is multiplied by this after each failed load.
SLOWDOWN_FACTOR = 0.5
# Share of the limit by which the rate recovers in each second.
RECOVERY_PER_S = 0.05


class LoadGrants:
    """Token buckets for loads, one for each failure domain that needs any.

    The total rate is split evenly over the domains that need loads now. The
    rate limit of the weight store is unknown, so the total rate halves after
    each failed load and then recovers slowly.

    Parameters
    ----------
    loads_per_s : float
        Maximum rate at which loads are started for this service, summed
        over all domains.
    """

    def __init__(self, loads_per_s=LOADS_PER_S):
        self._limit = loads_per_s
        self._rate = loads_per_s
        self._tokens_by_domain = {}
        self._filled_at = None

    def fill(self, domains, now):
        """Add the tokens of the time since the last call, for `domains`.

        The buckets of all other domains are dropped.
        """
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
        """Take a token from the bucket of `domain`, if one is left.

        Returns
        -------
        bool
            Whether a token was taken.
        """
        tokens = self._tokens_by_domain.get(domain, 0.0)
        if tokens < 1.0:
            return False
        self._tokens_by_domain[domain] = tokens - 1.0
        return True

    def slow_down(self):
        """Reduce the rate after a failed load."""
        self._rate = max(self._rate * SLOWDOWN_FACTOR, MIN_LOADS_PER_S)
