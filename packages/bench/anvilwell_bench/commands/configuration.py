"""``configuration``: how changes reach daemons, beside the naive way."""

import asyncio

from absl import flags

from anvilwell_bench.configuration import measure
from anvilwell_bench.configuration import meters
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
    reader = meters.make_reader()
    ours = [
        asyncio.run(measure.measure_ours(reader, size, changes, idle_s))
        for size in sizes
    ]
    naive = [
        asyncio.run(measure.measure_baseline(reader, size, changes, idle_s))
        for size in sizes
    ]
    print(report.table([*ours, *naive]))
    print(report.target(ours, naive))
