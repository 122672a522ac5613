"""``control``: what membership and leases cost, beside the naive way."""

import asyncio

from absl import flags

from anvilwell_bench.control import measure
from anvilwell_bench.control import report

SIZES = (5, 20, 40, 80)
QUICK_SIZES = (5, 10)
SETTLE_S = 10.0
QUICK_SETTLE_S = 1.0
IDLE_S = 15.0
QUICK_IDLE_S = 3.0


def control(args):
    """Measure at the sizes in `args`, or at the usual ones."""
    quick = flags.FLAGS.quick
    sizes = [int(size) for size in args] or (QUICK_SIZES if quick else SIZES)
    settle_s = QUICK_SETTLE_S if quick else SETTLE_S
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    plans = [measure.Plan(size, settle_s, idle_s) for size in sizes]
    ours = [asyncio.run(measure.measure_ours(plan)) for plan in plans]
    naive = [asyncio.run(measure.measure_naive(plan)) for plan in plans]
    print(report.table([*ours, *naive]))
    print(report.outlook("ours", ours))
    print(report.outlook("naive", naive))
