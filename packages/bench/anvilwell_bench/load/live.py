"""Live callers of one deployment, until they are told to stop."""

import concurrent.futures
import random
import threading
import typing

from anvilwell_bench.load import caller

_PLACES = ("Kamnik", "Domzale", "Ljubljana", "Menges", "Trzin")


class Mix(typing.NamedTuple):
    """What callers ask for, as shares that add up to 1."""

    stream: float = 0.6
    look_up: float = 0.25
    notice: float = 0.1
    unknown: float = 0.05


class Load(typing.NamedTuple):
    """How much callers ask, and of which services."""

    model_service: str
    plain_service: str
    callers: int = 4
    pause_s: float = 0.1
    max_tokens: int = 24
    mix: Mix = Mix()


class LiveCallers:
    """Callers on threads of their own.

    Parameters
    ----------
    load : Load
        How much to ask.
    entries : list of caller.Entry
        Entries to ask.
    recorder : recorder.Recorder
        Where asks and answers go.
    seed : int
        Seed of the choices.
    """

    def __init__(self, load, entries, recorder, seed=0):
        self._load = load
        self._entries = entries
        self._recorder = recorder
        self._seed = seed
        self._stopped = threading.Event()

    def stop(self):
        """Ask no more; answers under way are still awaited."""
        self._stopped.set()

    def run(self):
        """Ask until `stop`; raise what any caller raised."""
        numbers = range(self._load.callers)
        with concurrent.futures.ThreadPoolExecutor(len(numbers)) as pool:
            list(pool.map(self._run_caller, numbers))

    def _run_caller(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        entries = self._entries[number % len(self._entries) :]
        entries += self._entries[: number % len(self._entries)]
        one = caller.Caller(f"caller-{number}", entries, self._recorder)
        try:
            while not self._stopped.wait(
                rng.expovariate(1 / self._load.pause_s)
            ):
                self._ask(one, rng)
        finally:
            self._stopped.set()

    def _ask(self, one, rng):
        name = one.next_name()
        choice = rng.choices(
            (stream, look_up, notice, unknown), weights=self._load.mix
        )[0]
        ask = choice(self._load, name, rng)
        if ask.idempotent:
            one.send(name, ask)
        else:
            one.send_notice(ask)


def stream(load, name, rng):
    """Return an ask for a streamed draft."""
    return caller.Ask(
        load.model_service,
        "POST",
        "/v1/completions",
        prompt=f"{name}: draft a route to {rng.choice(_PLACES)}",
        seed=rng.randrange(1 << 16),
        max_tokens=load.max_tokens,
    )


def unknown(load, name, rng):
    """Return an ask for a service that is not there."""
    return stream(load, name, rng)._replace(service="no-such-lm")


def look_up(load, name, rng):
    """Return an ask for a stop's times."""
    path = f"/services/{load.plain_service}/stops/{rng.choice(_PLACES)}"
    return caller.Ask(load.plain_service, "GET", f"{path}/{name}")


def notice(load, name, rng):
    """Return a change notice, which may not run twice."""
    return caller.Ask(
        load.plain_service,
        "POST",
        f"/services/{load.plain_service}/notices",
        key=f"key-{name}",
        idempotent=False,
        body=f"{name}: bus {rng.randrange(99)} leaves later",
    )
