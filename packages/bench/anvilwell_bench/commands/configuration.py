"""``configuration``: how changes reach daemons, beside the naive way."""

import asyncio

from absl import flags

from anvilwell_bench.configuration import groups
from anvilwell_bench.configuration import measure
from anvilwell_bench.configuration import report

SIZES = (5, 20, 80)
QUICK_SIZES = (5, 10)
CHANGES = 20
QUICK_CHANGES = 3
IDLE_S = 10.0
QUICK_IDLE_S = 2.0


def configuration(args):
    """Measure at the sizes in `args`, or at the usual ones."""
    quick = flags.FLAGS.quick
    sizes = [int(size) for size in args] or (QUICK_SIZES if quick else SIZES)
    changes = QUICK_CHANGES if quick else CHANGES
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    settle_s = measure.QUICK_SETTLE_S if quick else measure.SETTLE_S
    print(report.head())
    results_by_kind = {
        kind: [
            _measure(measure.Plan(kind, size, changes, idle_s, settle_s))
            for size in sizes
        ]
        for kind in groups.KINDS
    }
    print(report.target(results_by_kind["ours"], results_by_kind["naive"]))


def _measure(plan):
    result = asyncio.run(measure.measure(plan))
    print(report.row(result), flush=True)
    return result
