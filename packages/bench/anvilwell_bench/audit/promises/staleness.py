"""No sample is older than the staleness bound."""

import typing

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_bench.audit import reader


class _Age(typing.NamedTuple):
    sample: history.Sample
    versions: int
    bound: int


class StalenessBound(promise.Promise):
    """Compares a sample's oldest version with the trainer's own."""

    name = "staleness"

    def check(self, records):
        """Return a breach for each sample older than its bound."""
        return [
            self.breach(
                f"sample is {age.versions} versions old, the bound is "
                f"{age.bound}",
                age.sample.sample_id,
            )
            for age in _ages(records)
            if age.versions > age.bound
        ]

    def evidence(self, records):
        """Return how many samples have a known age."""
        return len(_ages(records))


def ages(records):
    """Return the age of each delivered sample, in versions."""
    return [age.versions for age in _ages(records)]


def _ages(records):
    trainer_versions = reader.group_by(records.of("version"), "run")
    known = (
        (sample, _version_at(trainer_versions, sample))
        for sample in history.samples(records)
        if sample.group and sample.collected["versions"]
    )
    return [
        _Age(
            sample,
            version - min(map(int, sample.collected["versions"])),
            sample.submit["staleness_bound"],
        )
        for sample, version in known
        if version is not None
    ]


def _version_at(trainer_versions, sample):
    had = [
        int(line["version"])
        for line in trainer_versions.get(sample.run, ())
        if line["at"] <= sample.collected_at
    ]
    return had[-1] if had else None
