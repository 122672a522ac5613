"""Which agents an entry links to: bounded, stable, all for a holder."""

import collections
import random

import hypothesis
from hypothesis import strategies

from anvilwell_daemon.entry import targets
from anvilwell_kernel.messages import membership

DOMAINS = 13
SIZE = 8


def _member(number, address=""):
    return membership.Member(
        f"vm-{number}",
        address or f"10.0.0.{number}:1",
        f"d{number % DOMAINS}",
        "agent",
        "lm",
        membership.State.LIVE,
        1,
    )


def _targets(count, size=SIZE):
    made = targets.Targets("entry-1", "d0", size)
    for number in range(count):
        made.up(_member(number))
    return made


def _wanted(made, count):
    members = [_member(number) for number in range(count)]
    return {m.vm_id for m in members if made.wants(m.address)}


def test_all_of_a_small_service_is_wanted():
    assert len(_wanted(_targets(6, size=48), 6)) == 6


def test_links_are_bounded_and_in_several_domains():
    made = _targets(200)
    wanted = _wanted(made, 200)
    domains = collections.Counter(int(w[3:]) % DOMAINS for w in wanted)
    assert len(wanted) == SIZE
    assert domains[0] == SIZE // 2
    assert len(domains) > 2


def test_a_holder_wants_all_until_it_releases():
    made = _targets(200)
    before = _wanted(made, 200)
    assert len(made.want_all("lm")) == 200
    assert len(_wanted(made, 200)) == 200
    made.up(_member(200))
    assert made.wants(_member(200).address)
    made.down(_member(200))
    made.release("lm")
    assert _wanted(made, 200) == before


def test_widening_doubles_and_keeps_what_was_wanted():
    made = _targets(200)
    before = _wanted(made, 200)
    made.widen("lm")
    wide = _wanted(made, 200)
    assert before < wide
    assert len(wide) <= 3 * SIZE
    for _ in range(6):
        made.widen("lm")
    assert len(_wanted(made, 200)) == 200
    made.narrow("lm")
    assert _wanted(made, 200) == before


def test_a_new_vm_may_have_the_address_of_a_dead_one():
    made = _targets(1)
    made.up(_member(1, _member(0).address))
    made.down(_member(0))
    assert made.wants(_member(0).address)


@hypothesis.given(strategies.integers(0, 2**32 - 1))
@hypothesis.settings(max_examples=20)
def test_churn_looks_only_at_what_changed(seed):
    rng = random.Random(seed)
    made = _targets(100)
    wanted = _wanted(made, 140)
    for _ in range(60):
        member = _member(rng.randrange(140))
        change = rng.choice((made.up, made.down))
        touched = {m.vm_id for m in change(member)}
        after = _wanted(made, 140)
        assert after ^ wanted <= touched
        assert len(touched) <= 2 * DOMAINS
        assert len(after) <= SIZE
        wanted = after
