"""Measures samples in virtual time: idle, makespan, staleness, cost."""

import os

from absl import flags

from anvilwell_bench.virtual import samples_cost
from anvilwell_bench.virtual import samples_measures as measures
from anvilwell_bench.virtual import samples_report as report
from anvilwell_bench.virtual import samples_workload as workload
from anvilwell_bench.virtual import samples_world as worlds
from anvilwell_decisions.samples import schedule

_FLAGS = flags.FLAGS

PREFERENCES = (0.0, 0.25, 0.5, 0.75, 1.0)
OURS = worlds.Options()
ABLATIONS = {
    "no scouts": schedule.Policy(scouts=False),
    "arrival order": schedule.Policy(longest_first=False, scouts=False),
    "no affinity": schedule.Policy(affinity=False),
    "no early start": schedule.Policy(early_share=0.0),
    "no early cancel": schedule.Policy(cancel_doomed=False),
}
SWAPS = ("resume", "drain")

flags.DEFINE_integer("seeds", 2, "Seeds to average over, from --seed on.")
flags.DEFINE_integer("steps", 10, "Steps of each run.")
flags.DEFINE_list(
    "deployments",
    [deployment.name for deployment in workload.DEPLOYMENTS],
    "Deployments to measure.",
)


def samples(args):
    """Print every table; return an exit status."""
    breaches = 0
    chosen = [
        deployment
        for deployment in workload.DEPLOYMENTS
        if deployment.name in _FLAGS.deployments
    ]
    for deployment in chosen:
        breaches += _compare(deployment)
        _sweep(deployment)
        _ablate(deployment)
        _stress(deployment)
        _slow(deployment)
    report.print_costs([samples_cost.measure(n) for n in samples_cost.FLEETS])
    return os.EX_SOFTWARE if breaches else os.EX_OK


def _compare(deployment):
    breaches = 0
    for faulty in (False, True):
        rows = [
            _row("plain", deployment, measures.PLAIN, faulty),
            _row("anvilwell", deployment, OURS, faulty),
        ]
        word = "with" if faulty else "without"
        report.print_rows(f"{deployment.name}, {word} faults", rows)
        breaches += report.print_goals(rows, faulty=faulty)
    return breaches


def _sweep(deployment):
    trainings = [
        _train(deployment, _with_preference(preference), False)
        for preference in PREFERENCES
    ]
    points = [
        (preference, training, _objective(preference, training, deployment))
        for preference, training in zip(PREFERENCES, trainings, strict=True)
    ]
    report.print_curve(f"{deployment.name}, preference", points)


def _objective(preference, training, deployment):
    stale = training.staleness_mean / max(1, deployment.bound)
    return (1 - preference) * training.idle + preference * stale


def _ablate(deployment):
    rows = [
        _row(name, deployment, worlds.Options(policy=policy), False)
        for name, policy in ABLATIONS.items()
    ]
    rows += [
        _row(f"swap {swap}", deployment, worlds.Options(swap=swap), False)
        for swap in SWAPS
    ]
    report.print_rows(f"{deployment.name}, without one mechanism", rows)


def _stress(deployment):
    harder = deployment._replace(lengths=workload.BY_SAMPLE)
    rows = [
        _row("plain", harder, measures.PLAIN, False),
        _row("anvilwell", harder, OURS, False),
    ]
    report.print_rows(
        f"{deployment.name}, stragglers that no prompt predicts", rows
    )


def _slow(deployment):
    slower = deployment._replace(slow_engines=("e0",))
    unhedged = worlds.Options(policy=schedule.Policy(hedge=False))
    rows = [
        _row("plain", slower, measures.PLAIN, False),
        _row("anvilwell", slower, OURS, False),
        _row("no hedge", slower, unhedged, False),
    ]
    report.print_rows(f"{deployment.name}, one engine slow", rows)


def _with_preference(preference):
    policy = schedule.Policy().prefer(preference)
    return worlds.Options(policy=policy)


def _row(name, deployment, options, faulty):
    rounds = [
        measures.rounds(
            deployment,
            options,
            seed,
            steps=_steps(),
            faults=_faults(deployment, seed, faulty),
        )
        for seed in _seeds()
    ]
    training = _train(deployment, options, faulty)
    return report.Row(name, training, report.mean(rounds))


def _train(deployment, options, faulty):
    return report.mean(
        [
            measures.train(
                deployment,
                options,
                seed,
                steps=_steps(),
                faults=_faults(deployment, seed, faulty),
            )
            for seed in _seeds()
        ]
    )


def _faults(deployment, seed, faulty):
    return measures.draw_faults(deployment, seed) if faulty else ()


def _seeds():
    count = 1 if _FLAGS.quick else _FLAGS.seeds
    return range(_FLAGS.seed, _FLAGS.seed + count)


def _steps():
    return 5 if _FLAGS.quick else _FLAGS.steps
