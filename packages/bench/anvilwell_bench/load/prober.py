"""Asks each daemon which document it has in force."""

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


class _Summary(typing_extensions.TypedDict):
    service: str
    generation: int


class _Services(typing_extensions.TypedDict):
    services: list[_Summary]


_SERVICES = pydantic.TypeAdapter(_Services)


class Prober:
    """Probes every daemon, again and again.

    Parameters
    ----------
    daemons : list of Probed
        Daemons to ask.
    recorder : recorder.Recorder
        Where probes go; a daemon that gives no answer leaves none.
    """

    def __init__(self, daemons, recorder):
        self._daemons = tuple(daemons)
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
        for daemon in self._daemons:
            self._probe_one(daemon)

    def _probe_one(self, daemon):
        asked_at = self._recorder.now()
        url = f"{daemon.url}/admin/services"
        try:
            response = self._http.request("GET", url, timeout=_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return
        if response.status != 200:
            return
        for found in _SERVICES.validate_json(response.data)["services"]:
            self._recorder.write(
                "probe",
                at=asked_at,
                daemon=daemon.name,
                service=found["service"],
                generation=found["generation"],
            )
