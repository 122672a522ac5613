"""Each sample names the weight versions that made it."""

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_bench.audit import texts


class VersionsTrue(promise.Promise):
    """Compares the named versions with the engines' hidden record."""

    name = "versions"

    def check(self, records):
        """Return a breach for each sample with wrong versions."""
        made = history.attempts_by_generation(records, "token")
        found = (
            self._check_sample(sample, made.get(sample.generation, ()))
            for sample in _known_samples(records)
        )
        return [breach for breach in found if breach]

    def evidence(self, records):
        """Return how many samples were collected."""
        return len(_known_samples(records))

    def _check_sample(self, sample, token_lines):
        named = sample.collected["versions"]
        count = texts.count_tokens(sample.collected["text"])
        by_place = versions_by_place(token_lines, count)
        if is_possible(named, by_place):
            return None
        made = sorted(set().union(*by_place))
        return self.breach(
            f"sample names versions {named}, engines made its {count} "
            f"tokens with {made}",
            sample.sample_id,
        )


def versions_by_place(token_lines, count):
    """Return the set of versions that made each of `count` tokens."""
    by_place = [set() for _ in range(count)]
    for line in token_lines:
        end = min(line["first"] + line["count"], count)
        for place in range(line["first"], end):
            by_place[place].add(line["version"])
    return by_place


def is_possible(named, by_place):
    """Return whether the `named` runs of versions can cover all places.

    Parameters
    ----------
    named : list of str
        Versions in the order in which they made parts of the text.
    by_place : list of set of str
        Versions that made the token at each place, over all attempts.
    """
    if not named or not by_place:
        return False
    current = {0} if named[0] in by_place[0] else set()
    for versions in by_place[1:]:
        steps = current | {place + 1 for place in current}
        current = {
            place
            for place in steps
            if place < len(named) and named[place] in versions
        }
    return len(named) - 1 in current


def _known_samples(records):
    return [sample for sample in history.samples(records) if sample.group]
