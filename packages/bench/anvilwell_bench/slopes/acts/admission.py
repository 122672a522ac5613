"""Admission at an agent, as its queue grows."""

from anvilwell_bench.slopes import act
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import facts

CALLS = 300


def _ticket(number):
    return admission.Ticket(str(number), facts.Priority.LIVE, 1e9)


class AdmissionCpu(act.Act):
    """CPU to offer a request and to take in its end."""

    name = "agent.admission.cpu"
    act = "offer a request and take in the end of another"
    grows_with = "requests queued"
    unit = "us"
    sizes = (0, 16, 64, 256)

    def measure(self, size):
        """Return CPU microseconds for one request."""
        settings = admission.AdmissionSettings(max_queue=size + 10)
        gate = admission.Admission(settings)
        numbers = iter(range(1_000_000))
        running = []
        while gate.queued <= size:
            self._offer(gate, next(numbers), running)

        def turn():
            ticket_id = running.pop(0)
            for action in gate.finished(ticket_id, 0.1, 0.1):
                running.append(action.ticket_id)
            self._offer(gate, next(numbers), running)

        return act.cpu_us(turn, CALLS)

    @staticmethod
    def _offer(gate, number, running):
        action = gate.offer(_ticket(number), 0.0)
        if isinstance(action, admission.Admit):
            running.append(action.ticket_id)
