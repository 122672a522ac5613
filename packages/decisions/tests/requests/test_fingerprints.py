"""Fingerprints are equal for equal requests only."""

import hypothesis
from hypothesis import strategies

from anvilwell_decisions.requests import fingerprints

_PARTS = strategies.tuples(
    strategies.sampled_from(("GET", "POST")),
    strategies.text(max_size=3),
    strategies.text(max_size=3),
    strategies.binary(max_size=3),
    strategies.tuples(
        strategies.text(max_size=2), strategies.text(max_size=2)
    ),
)


@hypothesis.given(_PARTS, _PARTS)
def test_only_the_same_request_has_the_same_fingerprint(one, other):
    digest = fingerprints.fingerprint(*one)

    assert digest == fingerprints.fingerprint(*one)
    assert (digest == fingerprints.fingerprint(*other)) == (one == other)


def test_moving_bytes_between_parts_changes_the_fingerprint():
    one = fingerprints.fingerprint("GET", "host", "/a", b"b")

    assert one != fingerprints.fingerprint("GET", "hos", "t/a", b"b")
    assert one != fingerprints.fingerprint("GET", "host", "/ab", b"")
