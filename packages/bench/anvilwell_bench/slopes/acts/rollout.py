"""A rollout's leader with every replica at its version."""

from anvilwell_bench.slopes import act
from anvilwell_decisions.rollout import reconciler
from anvilwell_kernel.messages import orders as messages

LOOKS = 10
DOMAINS = 13
_VERSION = "2"
_SIZES = (100, 600, 1700, 5100)


class SettledCpu(act.Act):
    """CPU of one look, of which a settled leader takes one in 2 s."""

    name = "rollout.settled.cpu"
    act = "look at a settled rollout"
    grows_with = "replicas of the service"
    unit = "us"
    sizes = _SIZES

    def measure(self, size):
        """Return the microseconds of a look."""
        leader = reconciler.Reconciler("service", 1)
        domains_by_id = {
            f"vm-{number:05d}": f"domain-{number % DOMAINS:02d}"
            for number in range(size)
        }
        leader.set_members(domains_by_id)
        leader.desire(reconciler.Desired(_VERSION, 1, 0.5))
        leader.tick(0.0)
        for vm_id in domains_by_id:
            leader.report(_report(vm_id))

        def look():
            leader.set_members(domains_by_id)
            leader.tick(1.0)
            leader.progress()

        return act.cpu_us(look, LOOKS)


def _report(vm_id):
    idle = messages.Activity.IDLE
    return messages.Report(vm_id, _VERSION, [_VERSION], [], idle, 1, 0, 1)
