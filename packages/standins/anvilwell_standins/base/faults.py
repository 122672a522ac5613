"""Scripted faults of a stand-in."""

import threading
import typing

from anvilwell_kernel import exceptions
import pydantic

FOREVER = -1


class Fault(typing.NamedTuple):
    """One scripted fault.

    ``match`` is a part of the call's name ("" for every call);
    ``after`` matching calls pass first; ``count`` calls are hit, -1 for
    all until the faults are cleared. ``seconds``, ``amount`` and
    ``mode`` mean what the kind says.
    """

    kind: str
    match: str = ""
    after: int = 0
    count: int = 1
    seconds: float = 0.0
    amount: float = 0.0
    mode: str = ""


FAULTS = pydantic.TypeAdapter(list[Fault])


class Faults:
    """The faults still to come, in the order in which they were given.

    Parameters
    ----------
    kinds : iterable of str
        The kinds that this stand-in knows.
    """

    def __init__(self, kinds):
        self.kinds = frozenset(kinds)
        self._lock = threading.Lock()
        self._faults = []

    def check(self, faults):
        """Refuse `faults` if any is of an unknown kind.

        Raises
        ------
        exceptions.BadRequest
            With the unknown kinds and the known ones.
        """
        unknown = sorted({fault.kind for fault in faults} - self.kinds)
        if unknown:
            raise exceptions.BadRequest(
                f"unknown faults {unknown}; known: {sorted(self.kinds)}"
            )

    def add(self, *faults):
        """Script `faults` after those already there."""
        self.check(faults)
        with self._lock:
            self._faults.extend(faults)

    def clear(self):
        """Drop every fault still to come."""
        with self._lock:
            self._faults.clear()

    def pending(self):
        """Return the faults still to come."""
        with self._lock:
            return list(self._faults)

    def take(self, kind, call=""):
        """Return the `Fault` of `kind` that hits this `call`, or None."""
        with self._lock:
            for place, fault in enumerate(self._faults):
                if fault.kind == kind and fault.match in call:
                    return self._use(place, fault)
        return None

    def _use(self, place, fault):
        if fault.after > 0:
            self._faults[place] = fault._replace(after=fault.after - 1)
            return None
        if fault.count == 1:
            del self._faults[place]
        elif fault.count > 1:
            self._faults[place] = fault._replace(count=fault.count - 1)
        return fault
