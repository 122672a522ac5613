"""The shared driver: virtual time, random streams, lag and faults.

It drives pure decisions through their interfaces only. It models no
hosts and no network: a message is a callback after a lag.
"""

import random
import typing

import simpy


class Fault(typing.NamedTuple):
    """Something that is wrong with `target` from start to end."""

    kind: str
    target: str
    start_s: float
    end_s: float


class Lag(typing.NamedTuple):
    """A delay drawn evenly between two bounds, in seconds."""

    low_s: float
    high_s: float

    def draw(self, rng):
        """Return one delay in seconds."""
        return rng.uniform(self.low_s, self.high_s)


class Driver:
    """A virtual clock with named random streams and scripted faults.

    Parameters
    ----------
    seed : int
        Seed of every stream; equal seeds give equal runs.
    faults : iterable of Fault
        What is wrong, and when.
    """

    def __init__(self, seed, faults=()):
        self.environment = simpy.Environment()
        self._seed = seed
        self._rngs_by_name = {}
        self._faults_by_cause = {}
        for fault in faults:
            cause = (fault.kind, fault.target)
            self._faults_by_cause.setdefault(cause, []).append(fault)

    @property
    def now(self):
        """Virtual time in seconds."""
        return self.environment.now

    def rng(self, name):
        """Return the random stream called `name`."""
        if name not in self._rngs_by_name:
            seed = f"{self._seed}/{name}"
            self._rngs_by_name[name] = random.Random(seed)
        return self._rngs_by_name[name]

    def fresh_rng(self, name):
        """Return a new stream called `name`; equal names draw alike."""
        return random.Random(f"{self._seed}/{name}")

    def after(self, delay_s, function, *args):
        """Call ``function(*args)`` in `delay_s` seconds."""
        event = self.environment.timeout(delay_s)
        event.callbacks.append(lambda _: function(*args))

    def every(self, period_s, function, *args):
        """Call ``function(*args)`` every `period_s` seconds."""

        def _tick():
            function(*args)
            self.after(period_s, _tick)

        self.after(period_s, _tick)

    def send(self, name, lag, function, *args):
        """Deliver a message by callback after a lag; may reorder."""
        self.after(lag.draw(self.rng(name)), function, *args)

    def is_faulty(self, kind, target):
        """Return whether `target` has a fault of `kind` now."""
        faults = self._faults_by_cause.get((kind, target), ())
        return any(f.start_s <= self.now < f.end_s for f in faults)

    def run(self, until_s):
        """Run until `until_s` of virtual time."""
        self.environment.run(until=until_s)
