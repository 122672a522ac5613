"""Prints what the samples bench measured, and whether goals are met."""

import typing

IDLE_GOAL = 0.5
RATIO_GOAL = 1.15
FAULTY_RATIO_GOAL = 1.3


class Row(typing.NamedTuple):
    """One policy in one deployment, over all seeds."""

    name: str
    training: typing.Any
    rounds: typing.Any


def mean(results):
    """Return the mean of equal NamedTuples, field by field."""
    kind = type(results[0])
    columns = zip(*results, strict=True)
    return kind(*(sum(column) / len(column) for column in columns))


def print_rows(title, rows):
    """Print one table."""
    print(f"\n{title}")
    print(
        f"{'policy':<18} {'idle':>6} {'wait p50':>9} {'p99 s':>7}"
        f" {'stale':>6} {'max':>4} {'discard':>8} {'breach':>6}"
        f" {'step/bound p50':>15} {'p99':>5} {'step p50 s':>11} {'p99':>6}"
    )
    for row in rows:
        one, many = row.training, row.rounds
        print(
            f"{row.name:<18} {one.idle:>6.3f} {one.makespan_p50_s:>9.1f}"
            f" {one.makespan_p99_s:>7.1f} {one.staleness_mean:>6.2f}"
            f" {one.staleness_max:>4.0f} {one.discarded:>8.4f}"
            f" {one.breaches + many.breaches:>6.0f}"
            f" {many.ratio_p50:>15.2f} {many.ratio_p99:>5.2f}"
            f" {many.makespan_p50_s:>11.0f} {many.makespan_p99_s:>6.0f}"
        )


def print_goals(rows, *, faulty):
    """Print each goal with what was measured; return the breaches."""
    plain, ours = rows[:2]
    share = ours.training.idle / plain.training.idle
    bound = FAULTY_RATIO_GOAL if faulty else RATIO_GOAL
    ratio = ours.rounds.ratio_p50
    breaches = sum(row.training.breaches + row.rounds.breaches for row in rows)
    _print_goal("idle over the baseline's", share, IDLE_GOAL)
    _print_goal("step over its lower bound, p50", ratio, bound)
    _print_goal("breaches", breaches, 0)
    return breaches


def print_curve(title, points):
    """Print the knob's curve: preference, idle, staleness, objective."""
    print(f"\n{title}")
    print(f"{'preference':>10} {'idle':>6} {'staleness':>9} {'objective':>9}")
    for preference, training, objective in points:
        print(
            f"{preference:>10.2f} {training.idle:>6.3f}"
            f" {training.staleness_mean:>9.2f} {objective:>9.3f}"
        )


def print_costs(costs):
    """Print the cost of decisions."""
    print("\ncost of decisions, nine runs of 2,048 samples")
    print(
        f"{'replicas':>8} {'us a sample':>12} {'bytes a sample':>15}"
        f" {'bytes a replica':>16}"
    )
    for cost in costs:
        print(
            f"{cost.replicas:>8} {cost.microseconds_a_sample:>12.1f}"
            f" {cost.bytes_a_sample:>15.0f} {cost.bytes_a_replica:>16.0f}"
        )


def _print_goal(name, value, goal):
    verdict = "met" if value <= goal else "NOT met"
    print(f"  goal: {name} at most {goal}: {value:.2f}, {verdict}")
