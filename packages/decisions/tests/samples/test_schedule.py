"""Tests order, fairness, affinity, early work and staleness."""

import collections

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import schedule as schedules

GROUP = identity.Group("g", "p", 4, 100)


def samples(run="r", step=1, group="g", count=4):
    return [identity.SampleId(run, step, group, i) for i in range(count)]


def make(policy=None, bound=1, replicas=(("a", 2), ("b", 2)), runs=("r",)):
    schedule = schedules.Schedule(bound, policy)
    for replica_id, slots in replicas:
        schedule.replicas.set(replica_id, slots, 7)
    for run in runs:
        schedule.add_run(run, 1.0)
        schedule.set_needed_step(run, 1, 7, waiting=True)
    return schedule


def add(schedule, run="r", step=1, group=GROUP, count=4):
    schedule.set_step_size(run, step, count)
    for sample in samples(run, step, group.group, count):
        schedule.add(sample, group)


def test_group_stays_together_and_then_splits():
    schedule = make()
    add(schedule, count=3)
    starts = schedule.assign()
    assert [start.replica for start in starts] == ["a", "a", "b"]


def test_without_affinity_the_least_loaded_is_chosen():
    schedule = make(schedules.Policy(affinity=False))
    add(schedule, count=2)
    assert [s.replica for s in schedule.assign()] == ["a", "b"]


def test_longest_predicted_group_goes_first():
    schedule = make(replicas=[("a", 2)])
    short = identity.Group("s", "short", 1, 100)
    long = identity.Group("l", "long", 1, 100)
    add(schedule, group=short, count=1)
    add(schedule, group=long, count=1)
    for start in schedule.assign():
        tokens = {"s": 10, "l": 90}[start.sample.group]
        schedule.ended(start.attempt, tokens)
    add(schedule, step=2, group=short, count=1)
    add(schedule, step=2, group=long, count=1)
    schedule.set_needed_step("r", 2, 7, waiting=True)
    assert [s.sample.group for s in schedule.assign()] == ["l", "s"]


def serve(schedule, rounds):
    """Keep all slots in use, ending the oldest attempt each round."""
    served = collections.Counter()
    schedule.assign()
    under_way = collections.deque(schedule.running_by_attempt)
    for _ in range(rounds):
        schedule.ended(under_way.popleft(), 100)
        started = schedule.assign()
        under_way.extend(start.attempt for start in started)
        served.update(start.sample.run for start in started)
    return served


def test_two_runs_share_by_weight_and_neither_starves():
    schedule = make(replicas=[("a", 8)], runs=("x", "y"))
    schedule.add_run("x", 3.0)
    for run in ("x", "y"):
        add(schedule, run=run, count=400)
    assert serve(schedule, 200) == {"x": 150, "y": 50}


def test_a_run_that_was_idle_does_not_catch_up():
    schedule = make(replicas=[("a", 4)], runs=("x", "y"))
    add(schedule, run="x", count=100)
    serve(schedule, 50)
    add(schedule, run="y", count=50)
    served = serve(schedule, 24)
    assert abs(served["x"] - served["y"]) <= 2


def test_one_run_alone_gets_all_slots():
    schedule = make(replicas=[("a", 8)], runs=("x", "y"))
    add(schedule, run="x", count=100)
    assert len(schedule.assign()) == 8


def test_needed_work_goes_before_early_work_of_other_runs():
    schedule = make(replicas=[("a", 1)], runs=("x", "y"))
    add(schedule, run="x", step=2)
    add(schedule, run="y", step=1)
    assert [s.sample.run for s in schedule.assign()] == ["y"]


def test_early_share_bounds_early_work():
    schedule = make(schedules.Policy(early_share=0.5))
    add(schedule, step=2, count=4)
    assert len(schedule.assign()) == 2
    schedule.set_needed_step("r", 2, 7, waiting=True)
    assert len(schedule.assign()) == 2


def test_lost_replica_gives_its_samples_back():
    schedule = make(replicas=[("a", 4)])
    add(schedule)
    schedule.assign()
    assert schedule.remove_replica("a") == samples()
    assert not schedule.running_by_attempt


def test_work_that_will_be_too_old_is_cancelled():
    schedule = make(bound=1)
    add(schedule, step=1, count=1)
    add(schedule, step=2, count=1)
    schedule.assign()
    schedule.latest = 9
    (cancel,) = schedule.over_age_cancels()
    assert cancel.sample.step == 2
    schedule.set_needed_step("r", 1, 9, waiting=True)
    assert len(schedule.over_age_cancels()) == 2


def test_settled_sample_cancels_its_attempts():
    schedule = make()
    add(schedule, count=2)
    first, _ = schedule.assign()
    (cancel,) = schedule.settle(first.sample)
    assert cancel.attempt == first.attempt


def hedged(schedule):
    """Start a sample on each replica; hedge the one on replica a."""
    add(schedule, count=2)
    first = schedule.assign()
    assert [start.replica for start in first] == ["a", "b"]
    return first, schedule.hedge({"a"})


def test_a_stream_on_a_slow_replica_gets_one_second_attempt():
    schedule = make(schedules.Policy(affinity=False))
    first, (second,) = hedged(schedule)
    assert (second.sample, second.replica) == (first[0].sample, "b")
    assert schedule.hedge({"a"}) == []
    cancels = schedule.settle(second.sample)
    assert {c.attempt for c in cancels} == {first[0].attempt, second.attempt}


def test_no_slot_that_a_waiting_sample_can_use_is_taken():
    schedule = make(schedules.Policy(affinity=False))
    add(schedule, count=2)
    schedule.assign()
    schedule.add(*samples(count=3)[2:], GROUP)
    assert schedule.hedge({"a"}) == []


def test_without_another_replica_nothing_is_hedged():
    schedule = make(schedules.Policy(affinity=False))
    add(schedule, count=2)
    schedule.assign()
    assert schedule.hedge({"a", "b"}) == []


def test_hedging_can_be_off():
    policy = schedules.Policy(affinity=False, hedge=False)
    _, found = hedged(make(policy))
    assert found == []


def early_schedule(preference):
    """Return a schedule whose trainer takes 100 s and began at 200 s."""
    schedule = make(schedules.Policy().prefer(preference))
    training = schedule.training("r")
    training.begin(0.0)
    training.end(100.0)
    training.begin(200.0)
    add(schedule, step=2, count=1)
    return schedule


def starts_at(schedule, now):
    schedule.now = now
    schedule.set_needed_step("r", 1, 7, waiting=False)
    return len(schedule.assign())


def test_early_work_waits_for_its_share_of_the_training():
    schedule = early_schedule(0.25)
    assert [starts_at(schedule, now) for now in (224.0, 225.0)] == [0, 1]


def test_early_work_begins_at_once_where_idle_time_alone_counts():
    assert starts_at(early_schedule(0.0), 200.0) == 1


def test_no_work_is_early_where_staleness_alone_counts():
    assert starts_at(early_schedule(1.0), 999.0) == 0


def test_a_trainer_that_waits_ends_the_delay():
    schedule = early_schedule(0.75)
    schedule.now = 201.0
    schedule.set_needed_step("r", 2, 7, waiting=True)
    assert len(schedule.assign()) == 1


def test_replica_too_old_for_the_trainer_gets_no_work():
    schedule = make(bound=2)
    schedule.set_needed_step("r", 1, 10, waiting=True)
    schedule.replicas.set("b", 2, 8)
    add(schedule)
    assert [s.replica for s in schedule.assign()] == ["b", "b"]
    assert schedule.waiting == 2
    schedule.replicas.set("a", 2, 9)
    assert [s.replica for s in schedule.assign()] == ["a", "a"]


def test_replica_too_old_for_one_run_serves_another():
    schedule = make(bound=2, replicas=[("a", 4)], runs=("ahead", "behind"))
    schedule.set_needed_step("ahead", 1, 10, waiting=True)
    add(schedule, run="ahead", count=2)
    add(schedule, run="behind", count=2)
    assert {s.sample.run for s in schedule.assign()} == {"behind"}
    schedule.replicas.set("a", 4, 10)
    assert {s.sample.run for s in schedule.assign()} == {"ahead"}
