"""Each sample is delivered to its trainer exactly once."""

import collections
import itertools

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_bench.audit import reader


class ExactlyOnce(promise.Promise):
    """Follows the cursor of each run and counts its samples."""

    name = "exactly-once"

    def check(self, records):
        """Return breaches of cursors, repeats, and samples never given."""
        samples = history.samples(records)
        return [
            *self._check_cursors(records),
            *self._check_repeats(samples),
            *self._check_unasked(samples),
            *self._check_undelivered(records, samples),
        ]

    def evidence(self, records):
        """Return how many samples trainers asked for."""
        return len(_expected_ids(records))

    def _check_cursors(self, records):
        collects_by_run = reader.group_by(records.of("collect"), "run")
        return itertools.chain.from_iterable(
            self._check_run(run, collects)
            for run, collects in collects_by_run.items()
        )

    def _check_run(self, run, collects):
        cursor = 0
        for line in collects:
            if line["cursor"] != cursor:
                yield self.breach(
                    f"run {run}: collected from {line['cursor']}, "
                    f"expected {cursor}",
                    run,
                )
            positions = [one["position"] for one in line["samples"]]
            bounds = [line["cursor"] - 1, *positions, line["next_cursor"]]
            rises = itertools.pairwise(bounds)
            if not all(lower < upper for lower, upper in rises):
                yield self.breach(
                    f"run {run}: positions {positions} from cursor "
                    f"{line['cursor']} to {line['next_cursor']}",
                    run,
                )
            cursor = line["next_cursor"]

    def _check_repeats(self, samples):
        times = collections.Counter(one.sample_id for one in samples)
        return [
            self.breach(f"delivered {count} times", sample_id)
            for sample_id, count in times.items()
            if count > 1
        ]

    def _check_unasked(self, samples):
        return [
            self.breach("delivered but never asked for", sample.sample_id)
            for sample in samples
            if not sample.group
        ]

    def _check_undelivered(self, records, samples):
        delivered = {sample.sample_id for sample in samples}
        return [
            self.breach("asked for but never delivered", sample_id)
            for sample_id in _expected_ids(records)
            if sample_id not in delivered
        ]


def _expected_ids(records):
    return {
        f"{line['run']}/{line['step']}/{group['group']}/{index}": None
        for line in records.of("submit")
        for group in line["groups"]
        for index in range(group["samples"])
    }
