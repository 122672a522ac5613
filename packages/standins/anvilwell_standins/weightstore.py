"""The rate-limited store of model weights."""

import threading

from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import web
import werkzeug
import xxhash

from anvilwell_standins.base import limits
from anvilwell_standins.base import server


class WeightStore(server.StandIn):
    """Publishes versions, and serves weights up to a rate.

    Parameters
    ----------
    published : dict of str to list of str
        Versions by model at the start.
    rate : float
        Fetches of weights a second; 0 for no limit.
    burst : float
        Fetches that may come at once.
    clock : clock.Clock, optional
        Source of monotonic time.
    """

    name = "weightstore"
    own_faults = ("rate-limit",)

    def __init__(
        self, published=None, *, rate=0.0, burst=1.0, clock=None, **kwargs
    ):
        super().__init__(**kwargs)
        versions_by_model = (published or {}).items()
        self._versions_by_model = {
            model: list(versions) for model, versions in versions_by_model
        }
        self._lock = threading.Lock()
        clock = clock or clocks.SystemClock()
        self._bucket = limits.TokenBucket(rate, burst, clock)
        self.immediate_by_kind["rate-limit"] = self._limit_rate
        self.route("/models/<model>/versions", self._list)
        version = "/models/<model>/versions/<version>"
        self.route(version, self._publish, ("PUT",))
        self.route(f"{version}/weights", self._fetch)

    def _list(self, request, model):
        return web.json_response({"versions": self._versions(model)})

    def _publish(self, request, model, version):
        with self._lock:
            versions = self._versions_by_model.setdefault(model, [])
            if version not in versions:
                versions.append(version)
        self.record.add("publish", model=model, version=version)
        return web.json_response({"version": version})

    def _fetch(self, request, model, version):
        wait_s = self._bucket.take()
        if wait_s:
            self.record.add("limited", model=model, version=version)
            raise limits.RateLimited(
                "too many fetches of weights", retry_after=wait_s
            )
        if version not in self._versions(model):
            raise exceptions.NotFound(
                f"model {model!r} has no version {version!r}",
                reason=reasons.Refusal.UNKNOWN_VERSION,
            )
        self.record.add("fetch", model=model, version=version)
        weights = xxhash.xxh64_digest(f"{model}/{version}".encode())
        return werkzeug.Response(
            weights, content_type="application/octet-stream"
        )

    def _versions(self, model):
        with self._lock:
            return list(self._versions_by_model.get(model, ()))

    def _limit_rate(self, fault):
        self._bucket.rate = fault.amount
