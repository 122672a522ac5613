"""``rollout``: how long new weights take to be on all replicas."""

import asyncio

from absl import flags

from anvilwell_bench.control import rollout as plays

SIZES = (510, 1700, 5100)
QUICK_SIZES = (100, 300)
MANY_FAIL = 0.02
_HEAD = (
    "| replicas | floor | failing, % | loaded ahead | all sound swapped, s | "
    "settled, s | least in service | given up | batches | orders | "
    "leader CPU s |"
)


def rollout(args):
    """Play rollouts at the sizes in `args`, or at the usual ones."""
    usual = QUICK_SIZES if flags.FLAGS.quick else SIZES
    sizes = [int(size) for size in args] or usual
    order_s = asyncio.run(plays.relay_order_s())
    print(f"one order through a relay: {1000 * order_s:.2f} ms of CPU")
    print("\n".join([_HEAD, "|" + "---|" * (_HEAD.count("|") - 1)]))
    for scene in _scenes(sizes, order_s):
        print(_row(plays.play(scene, flags.FLAGS.seed)))


def _scenes(sizes, order_s):
    ahead = [plays.Scene(size, order_s=order_s) for size in sizes]
    largest = ahead[-1]
    return [
        *ahead,
        largest._replace(floor=0.75),
        largest._replace(failing_share=MANY_FAIL),
        largest._replace(is_loaded_ahead=False),
    ]


def _row(played):
    scene = played.scene
    values = (
        scene.replicas,
        scene.floor,
        f"{100 * scene.failing_share:g}",
        "yes" if scene.is_loaded_ahead else "no",
        f"{played.sound_s:.1f}",
        f"{played.took_s:.1f}",
        played.least_in_service,
        played.failed,
        played.batches,
        played.orders,
        f"{played.leader_cpu_s:.2f}",
    )
    return "| " + " | ".join(map(str, values)) + " |"
