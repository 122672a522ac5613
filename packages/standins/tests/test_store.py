"""The key-value store alone, against a model of it."""

from anvilwell_kernel import clock
from anvilwell_kernel import exceptions
from anvilwell_standins.keyvalue import store as stores
import hypothesis
from hypothesis import strategies
import pytest

KEYS = strategies.sampled_from([b"a", b"b", b"c"])
STEPS = strategies.lists(
    strategies.tuples(KEYS, strategies.none() | strategies.binary(max_size=2)),
    max_size=12,
)
ALL = (b"\0", b"\0")


def contents(store):
    return {item.key: item for item in store.range(*ALL)}


def apply(store, steps):
    """Carry out `steps`; return what the store held at each revision."""
    held = {store.revision: contents(store)}
    for key, value in steps:
        revision = store.begin()
        if value is None:
            store.delete(key, b"", revision)
        else:
            store.put(key, value, 0, revision)
        held[revision] = contents(store)
    return held


@hypothesis.given(STEPS, strategies.data())
def test_roll_back_gives_what_was_there(steps, data):
    store = stores.Store(clock.ManualClock())
    with store.changed:
        held = apply(store, steps)
        revision = data.draw(strategies.sampled_from(sorted(held)))
        store.roll_back(revision)
    assert contents(store) == held[revision]
    assert store.revision == revision


@hypothesis.given(STEPS, strategies.integers(1, 13))
def test_events_make_the_contents_again(steps, revision):
    store = stores.Store(clock.ManualClock())
    with store.changed:
        held = apply(store, steps)
    known = dict(held.get(revision - 1, {}))
    for event in store.events_since(revision, *ALL):
        known.pop(event.key, None)
        if event.after:
            known[event.key] = event.after
    if revision <= store.revision:
        assert known == contents(store)


def test_versions_count_the_writes_of_one_life():
    store = stores.Store(clock.ManualClock())
    with store.changed:
        apply(store, [(b"a", b"1"), (b"a", b"2"), (b"a", None), (b"a", b"3")])
    item = contents(store)[b"a"]
    assert (item.created, item.modified, item.version) == (5, 5, 1)


def test_lapsed_leases_delete_their_keys_at_one_revision():
    now = clock.ManualClock()
    store = stores.Store(now)
    lease = store.grant(5)
    with store.changed:
        for key in (b"a", b"b"):
            store.put(key, b"", lease.lease_id, store.begin())
        now.advance(6)
        assert store.range(*ALL) == []
        events = store.events_since(4, *ALL)
    assert [event.key for event in events] == [b"a", b"b"]
    assert {event.revision for event in events} == {4}


def test_bad_writes_are_refused():
    store = stores.Store(clock.ManualClock())
    with pytest.raises(exceptions.NotFound):
        store.put(b"a", b"", 7, store.begin())
    too_large = bytes(stores.MAX_VALUE_BYTES + 1)
    with pytest.raises(exceptions.BadRequest):
        store.put(b"a", too_large, 0, store.begin())
    assert contents(store) == {}
