"""Long items get the fast replicas, and runs are moved off slow ones."""

from anvilwell_decisions.batches import dispatch as dispatches
from anvilwell_decisions.batches import paces
from anvilwell_decisions.traffic import facts
import hypothesis
from hypothesis import strategies as st
import pytest

NOW = 100.0
FAST_S = 0.04
SLOW_S = 0.15
# Enough started runs to fill the budget of moves.
RUNS_BEFORE = 1000


def _dispatch(slots=2, versions=(1, 1, 1), **changes):
    dispatch = dispatches.Dispatcher()
    dispatch.set_replicas(
        [
            facts.Replica(
                f"r{n}",
                "lm",
                None,
                "a",
                slots,
                versions=(facts.ModelVersion("m", version),),
            )
            for n, version in enumerate(versions)
        ]
    )
    for _ in range(RUNS_BEFORE):
        dispatch.move_selector.budget.record_start()
    return dispatch


def _pace(dispatch, replica_id, pace_s, now=NOW):
    worker = dispatch.worker(replica_id)
    for _ in range(paces.MIN_GAPS):
        worker.pace.record_gap(pace_s, now)


def _item(min_version=1, item_id="i"):
    return dispatches.WaitingItem(
        (0,), "b", item_id, "g", "lm", "m", min_version
    )


def _run(replica_id, events):
    return dispatches.Run("b", f"i{events}", replica_id, events, "lm", "m", 1)


def test_the_least_loaded_replica_is_chosen():
    dispatch = _dispatch()
    dispatch.worker("r0").running = 1
    dispatch.worker("r1").running = 1

    assert dispatch.choose_replica(_item(), NOW) == "r2"


def test_idle_connections_decide_between_equal_replicas_only():
    """Guard against needless connections, and against uneven engines."""
    idle_by_id = {"r1": 2, "r2": 1}
    dispatch = dispatches.Dispatcher(
        idle_count=lambda name: idle_by_id.get(name, 0)
    )
    replicas = [facts.Replica(f"r{n}", "lm", None, "a", 3) for n in range(3)]
    dispatch.set_replicas(replicas)
    dispatch.set_runs([], {}, NOW)

    chosen = []
    for _ in range(6):
        replica_id = dispatch.choose_replica(_item(), NOW)
        dispatch.record_assignment(_item(), replica_id)
        chosen.append(replica_id)

    assert chosen == ["r1", "r2", "r0", "r1", "r0", "r2"]


def test_the_fast_replicas_fill_first():
    dispatch = _dispatch()
    _pace(dispatch, "r0", SLOW_S)
    _pace(dispatch, "r1", FAST_S)
    _pace(dispatch, "r2", FAST_S)

    chosen = []
    for _ in range(6):
        replica_id = dispatch.choose_replica(_item(), NOW)
        dispatch.worker(replica_id).running += 1
        chosen.append(replica_id)

    assert chosen[:4] == ["r1", "r2", "r1", "r2"]
    assert chosen[4:] == ["r0", "r0"]
    assert dispatch.choose_replica(_item(), NOW) is None


def test_outdated_replicas_and_other_services_get_no_item():
    dispatch = _dispatch(versions=(1, 2, 0))

    assert dispatch.choose_replica(_item(min_version=2), NOW) in ("r1", "r2")
    dispatch.worker("r1").not_before = NOW + 1
    dispatch.worker("r2").not_before = NOW + 1
    assert dispatch.choose_replica(_item(min_version=2), NOW) is None
    assert dispatch.choose_replica(_item()._replace(service="x"), NOW) is None


def test_versions_of_other_models_are_ignored():
    dispatch = _dispatch(versions=(1, 1, 2))
    dispatch.worker("r0").update_versions([facts.ModelVersion("other", 9)])

    assert dispatch.choose_replica(_item(min_version=2), NOW) == "r2"


def test_a_replica_that_refused_gets_no_item_during_its_pause():
    dispatch = _dispatch(versions=(1,))
    dispatch.worker("r0").not_before = NOW + dispatches.REFUSED_PAUSE_S

    assert dispatch.choose_replica(_item(), NOW) is None
    assert dispatch.choose_replica(_item(), NOW + 1.0) == "r0"


@pytest.mark.parametrize(
    ("events", "moves"), [(1, False), (2, False), (3, True), (20, True)]
)
def test_a_run_leaves_a_slow_replica_if_that_saves_time(events, moves):
    dispatch = _dispatch()
    _pace(dispatch, "r0", SLOW_S)
    _pace(dispatch, "r1", FAST_S)

    found = dispatch.choose_moves([_run("r0", events)], NOW)

    assert bool(found) == moves


def test_no_run_moves_between_similar_paces():
    dispatch = _dispatch()
    _pace(dispatch, "r0", 1.1 * FAST_S)
    _pace(dispatch, "r1", FAST_S)

    assert not dispatch.choose_moves([_run("r0", 100)], NOW)


def test_no_more_runs_move_than_there_are_free_slots():
    dispatch = _dispatch()
    _pace(dispatch, "r0", SLOW_S)
    _pace(dispatch, "r1", FAST_S)
    dispatch.worker("r1").running = 1

    found = dispatch.choose_moves([_run("r0", 30), _run("r0", 60)], NOW)

    assert [move.run.events for move in found] == [60]


def test_a_pause_of_all_runs_does_not_count_as_slow():
    dispatch = _dispatch()
    for _ in range(2):
        _pace(dispatch, "r0", FAST_S)
    _pace(dispatch, "r1", FAST_S)
    for _ in range(6):
        dispatch.worker("r0").pace.record_gap(10 * FAST_S, NOW)

    assert not dispatch.choose_moves([_run("r0", 100)], NOW)


def test_a_run_leaves_a_replica_that_is_slow_for_seconds():
    dispatch = _dispatch()
    for replica_id in ("r0", "r1"):
        for _ in range(4):
            _pace(dispatch, replica_id, FAST_S)
    at = NOW
    for _ in range(17):
        at += SLOW_S
        dispatch.worker("r0").pace.record_gap(SLOW_S, at)
        dispatch.worker("r1").pace.record_gap(FAST_S, at)

    assert dispatch.choose_moves([_run("r0", 100)], at)


def test_a_replica_that_loads_a_model_gets_no_items_of_it():
    dispatch = _dispatch(versions=(1,))
    replica = dispatch.worker("r0").replica
    dispatch.set_replicas([replica._replace(loading=("m",))])
    assert dispatch.choose_replica(_item(), NOW) is None

    dispatch.set_replicas([replica._replace(loading=("n",))])
    assert dispatch.choose_replica(_item(), NOW) == "r0"


def _long(item_id, tokens=3_000):
    return _item(item_id=item_id)._replace(prompt=facts.Prompt(tokens))


def _assign(dispatch, item, now=NOW):
    replica_id = dispatch.choose_replica(item, now)
    if replica_id:
        dispatch.record_assignment(item, replica_id)
    return replica_id


def test_four_long_items_are_not_sent_to_the_one_fast_replica():
    dispatch = _dispatch(slots=8)
    _pace(dispatch, "r0", FAST_S)
    _pace(dispatch, "r1", 1.5 * FAST_S)
    _pace(dispatch, "r2", 1.5 * FAST_S)
    dispatch.set_runs([], {"lm": 9_000}, NOW)

    chosen = [_assign(dispatch, _long(f"i{n}")) for n in range(4)]

    assert sorted(chosen) == ["r0", "r0", "r1", "r2"]


def test_an_item_starts_even_if_memory_is_short_everywhere():
    dispatch = _dispatch(slots=8)
    dispatch.set_runs([], {"lm": 3_000}, NOW)

    chosen = [_assign(dispatch, _long(f"i{n}")) for n in range(6)]

    assert sorted(chosen) == ["r0", "r0", "r1", "r1", "r2", "r2"]


def test_a_group_goes_where_its_prompt_is_held():
    dispatch = _dispatch(slots=8, versions=(1, 1))
    dispatch.set_runs([], {"lm": 100_000}, NOW)
    prompt = facts.Prompt(300, "p", 260)
    other = facts.Prompt(300, "q", 260)

    for n, one in enumerate((prompt, other, other, prompt)):
        _assign(dispatch, _item(item_id=f"i{n}")._replace(prompt=one))

    assert dispatch.worker("r0").memory.has_shared_prompt("p")
    assert not dispatch.worker("r0").memory.has_shared_prompt("q")


def _fill_fast_replica(dispatch, left):
    """Fill the fast replica with runs that have `left` more events."""
    for _ in range(100):
        dispatch.lengths.observe("k", 0, left)
    runs = []
    for number in range(2):
        dispatch.worker("r1").running += 1
        run = _run("r1", 0)._replace(item_id=f"f{number}", kind="k")
        runs.append(run)
    dispatch.set_runs(runs, {}, NOW)


@pytest.mark.parametrize(("left", "waits"), [(5, True), (200, False)])
def test_a_long_item_waits_for_a_fast_slot_that_frees_up_soon(left, waits):
    dispatch = _dispatch(versions=(1, 1))
    _pace(dispatch, "r0", SLOW_S)
    _pace(dispatch, "r1", FAST_S)
    _fill_fast_replica(dispatch, left)
    long = _item()._replace(kind="new", events_made=40)

    assert dispatch.choose_replica(long, NOW) == (None if waits else "r0")


def test_a_slot_that_frees_up_soon_is_reserved_for_one_item():
    dispatch = _dispatch(versions=(1, 1))
    _pace(dispatch, "r0", SLOW_S)
    _pace(dispatch, "r1", FAST_S)
    _fill_fast_replica(dispatch, 5)
    long = _item()._replace(kind="new", events_made=40)

    chosen = [
        _assign(dispatch, long._replace(item_id=f"w{n}")) for n in range(8)
    ]

    assert chosen[:2] == [None, None]
    assert chosen.count("r0") == 2


def test_no_item_waits_for_a_silent_replica():
    dispatch = _dispatch(versions=(1, 1))
    _pace(dispatch, "r0", SLOW_S, NOW + 1.0)
    _pace(dispatch, "r1", FAST_S)
    _fill_fast_replica(dispatch, 5)
    dispatch.set_runs([_run("r1", 0)._replace(kind="k")] * 2, {}, NOW + 1.0)
    long = _item()._replace(kind="new", events_made=40)

    assert dispatch.choose_replica(long, NOW + 1.0) == "r0"


def _four_long_runs(dispatch, events):
    """Start four long runs at one replica with little memory."""
    for _ in range(100):
        dispatch.lengths.observe("k", 400, 8)
    runs = [
        _run("r0", events)._replace(
            item_id=f"l{n}", kind="k", expected_tokens=400 * (n + 4)
        )
        for n in range(4)
    ]
    dispatch.worker("r0").running = 4
    dispatch.set_runs(runs, {"lm": 4_000}, NOW)
    return runs


@pytest.mark.parametrize(("events", "moves"), [(7, 0), (19, 1)])
def test_a_run_moves_before_its_engine_is_out_of_memory(events, moves):
    """Four long items at one engine use nine tenths of its memory."""
    dispatch = _dispatch(slots=8)
    for replica_id in ("r0", "r1", "r2"):
        _pace(dispatch, replica_id, FAST_S)
    runs = _four_long_runs(dispatch, events)

    found = dispatch.choose_moves(runs, NOW)

    assert [move.cause.name for move in found] == ["MEMORY"] * moves
    # The run with most events left is moved.
    assert [move.run.item_id for move in found] == ["l3"] * moves


def test_an_item_moves_for_memory_only_once():
    """Guards against repeated moves when all engines are full.

    A waiting item took the slot that each move had freed, so that the memory
    was short again.
    """
    dispatch = _dispatch(slots=8)
    for replica_id in ("r0", "r1", "r2"):
        _pace(dispatch, replica_id, FAST_S)
    runs = [
        run._replace(earlier_moves=1) for run in _four_long_runs(dispatch, 19)
    ]

    assert not dispatch.choose_moves(runs, NOW)


def test_nothing_moves_for_memory_if_all_engines_are_full():
    dispatch = _dispatch(slots=8, versions=(1,))
    _pace(dispatch, "r0", FAST_S)
    runs = _four_long_runs(dispatch, 19)

    assert not dispatch.choose_moves(runs, NOW)


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from([None, 1, 2, 4]))
    )
)
def test_single_updates_give_the_same_state_as_a_full_one(changes):
    dispatch, other_dispatch = dispatches.Dispatcher(), dispatches.Dispatcher()
    replicas_by_id = {}
    for replica_id, slots in changes:
        replica = slots and facts.Replica(replica_id, "lm", None, "z", slots)
        replicas_by_id[replica_id] = replica
        dispatch.update_replica(replica_id, replica)
        other_dispatch.set_replicas(r for r in replicas_by_id.values() if r)
        for one in "abc":
            worker, other = dispatch.worker(one), other_dispatch.worker(one)
            assert (worker and worker.replica) == (other and other.replica)
