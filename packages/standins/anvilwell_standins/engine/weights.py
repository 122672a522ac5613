"""The weight versions that an engine holds, and the orders for them."""

import threading
import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import urllib3

FETCH_TIMEOUT_S = 30.0


class Weights:
    """Loaded versions, the active one, and the highest fencing number.

    Parameters
    ----------
    model : str
        The model's name in the weight store.
    version : str
        The version loaded and active at the start.
    store_url : str
        Weight store to fetch from; "" takes any version as published.
    check_fencing : bool
        Refuse an order whose number is lower than the highest seen.
    load_s, swap_s : float
        Seconds that a load and an activation take.
    """

    def __init__(
        self,
        model,
        version,
        *,
        store_url="",
        check_fencing=True,
        load_s=0.0,
        swap_s=0.0,
    ):
        self.model = model
        self.check_fencing = check_fencing
        self.highest_fencing = 0
        self._first = version
        self._store_url = store_url
        self._load_s = load_s
        self._swap_s = swap_s
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False)
        self._stopped = threading.Event()
        self.reset()

    def reset(self):
        """Forget all but the first version, as after a crash."""
        self.loaded = [self._first]
        self.active = self._first
        self.previous = self._first
        self._busy_until = 0.0

    def current(self):
        """Return the active version, None in the middle of a swap."""
        return None if time.monotonic() < self._busy_until else self.active

    def check(self, fencing):
        """Refuse an old fencing number, if this engine checks them.

        Raises
        ------
        exceptions.Fenced
            If `fencing` is lower than the highest seen.
        """
        with self._lock:
            if self.check_fencing and fencing < self.highest_fencing:
                raise exceptions.Fenced(
                    f"fencing number {fencing} is older than "
                    f"{self.highest_fencing}"
                )
            self.highest_fencing = max(self.highest_fencing, fencing)

    def load(self, version):
        """Fetch `version` and hold it; harmless if it is held."""
        if version in self.loaded:
            return
        if self._store_url:
            self._fetch(version)
        self._stopped.wait(self._load_s)
        self.loaded.append(version)

    def activate(self, version):
        """Make every later token by `version`.

        Raises
        ------
        exceptions.Conflict
            If `version` is not loaded.
        """
        if version not in self.loaded:
            raise exceptions.Conflict(f"version {version!r} is not loaded")
        with self._lock:
            if version != self.active:
                self.previous = self.active
                self._busy_until = time.monotonic() + self._swap_s
                self.active = version
        self._stopped.wait(self._swap_s)

    def _fetch(self, version):
        url = (
            f"{self._store_url}/models/{self.model}/versions/{version}/weights"
        )
        try:
            answer = self._http.request("GET", url, timeout=FETCH_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.BackendFailed(
                f"weight store gave no answer: {error}"
            ) from error
        if answer.status == 429:
            raise exceptions.Refused(
                "weight store's rate limit is reached",
                reason=reasons.Refusal.RATE_LIMITED,
                retry_after=float(answer.headers.get("Retry-After", 1)),
            )
        if answer.status != 200:
            raise exceptions.NotFound(
                f"weight store has no version {version!r}",
                reason=reasons.Refusal.UNKNOWN_VERSION,
            )
