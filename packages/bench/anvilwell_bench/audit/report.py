"""Runs every promise over the records and says what came out."""

import typing

from anvilwell_bench.audit import promises


class Held(typing.NamedTuple):
    """A promise that held, and how many observations could break it."""

    promise: str
    evidence: int


class Report(typing.NamedTuple):
    """Outcome of one audit; other promises are told by name."""

    held: tuple
    unproved: tuple
    breaches: tuple

    @property
    def is_clean(self):
        """Whether every promise had evidence and none was broken."""
        return not self.unproved and not self.breaches

    def lines(self):
        """Return the report as lines of text."""
        breaches = [
            f"breach: {one.promise}: {one.message} [{', '.join(one.requests)}]"
            for one in self.breaches
        ]
        unproved = [f"no evidence: {name}" for name in self.unproved]
        held = [
            f"held: {one.promise}, {one.evidence} observations"
            for one in self.held
        ]
        total = (
            f"audit: {len(held)} promises held, {len(self.breaches)} breaches"
        )
        return [*held, *breaches, *unproved, total]


def audit(records, checked=promises.ALL):
    """Return the `Report` of `records`.

    Parameters
    ----------
    records : reader.Records
        Everything that was recorded.
    checked : iterable of promise.Promise
        The promises to check.
    """
    breaches_by_promise = {one.name: one.check(records) for one in checked}
    unbroken = [
        Held(one.name, one.evidence(records))
        for one in checked
        if not breaches_by_promise[one.name]
    ]
    held = tuple(one for one in unbroken if one.evidence)
    unproved = tuple(one.promise for one in unbroken if not one.evidence)
    breaches = tuple(
        breach for found in breaches_by_promise.values() for breach in found
    )
    return Report(held, unproved, breaches)
