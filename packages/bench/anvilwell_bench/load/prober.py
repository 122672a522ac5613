"""Asks each daemon which document it has in force."""

import itertools
import threading
import typing

import pydantic
import typing_extensions
import urllib3

_TIMEOUT_S = 5.0


class Probed(typing.NamedTuple):
    """A daemon and where operators reach it."""

    name: str
    url: str


class _Service(typing_extensions.TypedDict):
    generation: int


_SERVICE = pydantic.TypeAdapter(_Service)


class Prober:
    """Probes every daemon for every service, again and again.

    Parameters
    ----------
    daemons : list of Probed
        Daemons to ask.
    services : list of str
        Services to ask for.
    recorder : recorder.Recorder
        Where probes go; a daemon that gives no answer leaves none.
    """

    def __init__(self, daemons, services, recorder):
        self._pairs = list(itertools.product(daemons, services))
        self._recorder = recorder
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False)

    def stop(self):
        """Stop after one more round."""
        self._stopped.set()

    def run(self, interval_s):
        """Probe each `interval_s` seconds until `stop`, then once more."""
        while not self._stopped.wait(interval_s):
            self.probe()
        self.probe()

    def probe(self):
        """Probe every daemon once."""
        for daemon, service in self._pairs:
            self._probe_one(daemon, service)

    def _probe_one(self, daemon, service):
        asked_at = self._recorder.now()
        url = f"{daemon.url}/admin/services/{service}"
        try:
            response = self._http.request("GET", url, timeout=_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return
        if response.status != 200:
            return
        self._recorder.write(
            "probe",
            at=asked_at,
            daemon=daemon.name,
            service=service,
            generation=_SERVICE.validate_json(response.data)["generation"],
        )
