"""Tests the neighbour graph, member table, news and VM list separately."""

import random
import typing

import hypothesis
from hypothesis import strategies as st

from anvilwell_decisions.membership import news
from anvilwell_decisions.membership import rings
from anvilwell_decisions.membership import table
from anvilwell_decisions.membership import vmlist
from anvilwell_kernel.messages import membership as messages


class Vm(typing.NamedTuple):
    vm_id: str
    address: str
    failure_domain: str
    state: str


IDS = [f"vm{n}" for n in range(6)]
MEMBERS = st.builds(
    messages.Member,
    vm_id=st.sampled_from(IDS),
    address=st.just("10.0.0.1:1"),
    failure_domain=st.just("d"),
    role=st.just("agent"),
    service=st.just("s"),
    state=st.sampled_from(messages.State),
    incarnation=st.integers(1, 3),
)


def graph(count, domains):
    built = rings.Rings()
    for number in range(count):
        built.add(f"vm{number}", f"d{number % domains}")
    return built


def hops_to_all(built, start):
    reached, frontier, hops = {start}, {start}, 0
    while frontier:
        found = set()
        for vm_id in frontier:
            found.update(built.successors(vm_id))
            found.update(built.predecessors(vm_id))
        frontier = found - reached
        reached |= frontier
        hops += bool(frontier)
    return hops, len(reached)


def test_news_crosses_the_graph_in_few_hops_at_target_size():
    built = graph(5950, 13)
    hops, reached = hops_to_all(built, "vm0")
    assert reached == 5950
    assert hops <= 7


def test_degree_is_bounded_and_one_neighbour_is_in_another_domain():
    built = graph(200, 3)
    for number in range(200):
        found = built.successors(f"vm{number}")
        assert 1 <= len(found) <= rings.RINGS + 1
        assert any(int(v[2:]) % 3 != number % 3 for v in found)


def test_graph_depends_on_the_set_of_members_alone():
    first = graph(50, 3)
    second = rings.Rings()
    order = list(range(60))
    random.Random(1).shuffle(order)
    for number in order:
        second.add(f"vm{number}", f"d{number % 3}")
    for number in range(50, 60):
        second.remove(f"vm{number}")
    for number in range(50):
        vm_id = f"vm{number}"
        assert first.successors(vm_id) == second.successors(vm_id)


@hypothesis.given(st.lists(MEMBERS), st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_and_duplication(members, rng):
    one, two = table.MemberTable(), table.MemberTable()
    for member in members:
        one.merge(member)
    shuffled = [*members, *members]
    rng.shuffle(shuffled)
    for member in shuffled:
        two.merge(member)
    ranks = [
        {v: m.rank for v, m in t.members_by_id.items()} for t in (one, two)
    ]
    assert ranks[0] == ranks[1]
    assert one.digest() == two.digest()


@hypothesis.given(st.lists(MEMBERS, min_size=1), MEMBERS)
def test_digest_differs_exactly_where_living_members_do(members, extra):
    one, two = table.MemberTable(), table.MemberTable()
    for member in members:
        one.merge(member)
        two.merge(member)
    before = two.members_by_id.get(extra.vm_id)
    changed = two.merge(extra)
    was_dead = before is None or before.state is messages.State.DEAD
    both_dead = was_dead and extra.state is messages.State.DEAD
    assert bool(one.differing(two.digest())) == (changed and not both_dead)


def test_leaving_goes_before_other_news_and_waits_for_its_ack():
    queue = news.News()
    queue.set_neighbours(["n"])
    dead = _member("a", messages.State.DEAD)
    leaving = _member("b", messages.State.LEAVING)
    queue.add(dead)
    queue.add(leaving)
    assert queue.take("n", 1, 0.0) == [leaving, dead]
    assert queue.take("n", 2, 0.1) == []
    queue.acknowledge("n", 2)
    assert queue.take("n", 3, 0.2) == []
    assert queue.take("n", 4, 1.1) == [leaving, dead]
    queue.acknowledge("n", 4)
    assert queue.take("n", 5, 2.2) == []


def test_news_newer_than_what_was_acked_is_still_sent():
    queue = news.News()
    queue.set_neighbours(["n"])
    queue.add(_member("a", messages.State.SUSPECT))
    queue.take("n", 1, 0.0)
    dead = _member("a", messages.State.DEAD)
    queue.add(dead)
    queue.acknowledge("n", 1)
    assert queue.take("n", 2, 0.1) == [dead]


def test_rate_of_news_is_bounded_however_much_there_is():
    queue = news.News()
    queue.set_neighbours(["n", "m"])
    for number in range(2000):
        queue.add(_member(f"vm{number}", messages.State.DEAD))
    sent = 0
    for step in range(100):
        for vm_id in queue.urgent(step / 10):
            sent += len(queue.take(vm_id, step, step / 10))
            queue.acknowledge(vm_id, step)
    assert sent <= news.BURST + news.RATE_PER_S * 10


def test_vm_list_names_the_leaving_and_the_gone_but_not_the_new():
    merge = vmlist.VmListMerge()
    assert merge.observe(_vms("a", "b", "c")) == frozenset()
    assert merge.observe(_vms("a", "b", leaving=("b",))) == {"b", "c"}
    assert merge.observe(_vms("a", "c")) == {"b"}


def test_vm_list_that_loses_most_vms_at_once_is_ignored():
    merge = vmlist.VmListMerge()
    merge.observe(_vms(*"abcdefgh"))
    assert merge.observe({}) == frozenset()
    assert merge.distrusted == 1
    assert merge.observe(_vms(*"abcdefg")) == {"h"}


def test_each_domain_has_two_readers_of_the_list():
    members = [
        _member(f"vm{n}", messages.State.LIVE, f"d{n % 3}") for n in range(30)
    ]
    readers = [m for m in members if vmlist.reads_list(m, members)]
    assert len(readers) == 3 * vmlist.READERS_PER_DOMAIN


def _member(vm_id, state, domain="d"):
    return messages.Member(vm_id, "10.0.0.1:1", domain, "r", "s", state, 1)


def _vms(*ids, leaving=()):
    return {
        v: Vm(v, "", "d", "leaving" if v in leaving else "live") for v in ids
    }
