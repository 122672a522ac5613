"""Tracks the members that a daemon monitors, and why."""

import typing

from anvilwell_decisions.membership import detector
from anvilwell_kernel.messages import membership as messages

# Claims of death that are verified at the same time.
MAX_CHALLENGES = 16
# Seconds for which a probe for another daemon is remembered.
PROBE_TTL_S = 2.0


class Challenge(typing.NamedTuple):
    """A claim that a member is dead, which is being verified."""

    claim: messages.Member
    subject: detector.Subject


class ProbeRequester(typing.NamedTuple):
    """The daemon that requested a probe, the subject and the time."""

    vm_id: str
    subject: str
    at: float


class Watch:
    """Tracks heartbeats to subjects, claims being verified, and probes."""

    def __init__(self):
        self._subjects_by_id = {}
        self._challenges_by_id = {}
        self._requesters_by_number = {}

    @property
    def subjects_by_id(self):
        """All monitored members: neighbours and those claimed to be dead."""
        tried = {v: c.subject for v, c in self._challenges_by_id.items()}
        return {**tried, **self._subjects_by_id}

    @property
    def neighbours(self):
        """The ids monitored as neighbours in the graph."""
        return list(self._subjects_by_id)

    def set_neighbours(self, vm_ids, now):
        """Monitor `vm_ids`, keeping the state of those monitored before."""
        known = self._subjects_by_id
        self._subjects_by_id = {
            v: known.get(v) or detector.Subject(now) for v in vm_ids
        }

    def challenge(self, claim, now):
        """Start to verify a claim, unless too many are being verified."""
        if len(self._challenges_by_id) < MAX_CHALLENGES:
            known = self._challenges_by_id.get(claim.vm_id)
            subject = known.subject if known else detector.Subject(now)
            self._challenges_by_id[claim.vm_id] = Challenge(claim, subject)

    def claim(self, vm_id):
        """Return the claim about `vm_id` that is being verified, or None."""
        challenge = self._challenges_by_id.get(vm_id)
        return challenge and challenge.claim

    def end_trial(self, vm_id):
        """Stop verifying the claim about `vm_id`."""
        self._challenges_by_id.pop(vm_id, None)

    def due(self, now, rng):
        """Return the ids for which a heartbeat is due; schedule their next."""
        due = [v for v, s in self.subjects_by_id.items() if s.due_at <= now]
        for vm_id in due:
            period_s = detector.HEARTBEAT_PERIOD_S * rng.uniform(0.9, 1.1)
            self.subjects_by_id[vm_id].due_at = now + period_s
        return due

    def sent(self, vm_id, number, now):
        """Record heartbeat `number` to `vm_id`."""
        subject = self.subjects_by_id.get(vm_id)
        if subject:
            subject.sent(number, now)

    def acked(self, vm_id, number):
        """Record an ack; return whether a monitored member owed it."""
        subject = self.subjects_by_id.get(vm_id)
        if not subject or not subject.acked(number):
            return False
        self.end_trial(vm_id)
        return True

    def confirm_alive(self, vm_id, now):
        """Record that another neighbour has reached `vm_id`."""
        subject = self.subjects_by_id.get(vm_id)
        if subject:
            subject.confirm_alive(now)

    def reset_silence(self):
        """Restart the silence measurement of all subjects."""
        for subject in self.subjects_by_id.values():
            subject.reset_silence()

    def neighbour_silences_s(self, now):
        """Return the silences of the neighbours only, in seconds."""
        return [s.silence_s(now) for s in self._subjects_by_id.values()]

    def is_probe_due(self, vm_id, now):
        """Return whether to request probes of `vm_id` from others now."""
        subject = self.subjects_by_id[vm_id]
        last = subject.probed_at
        if last is not None and now - last < detector.PROBE_TIMEOUT_S:
            return False
        subject.probed_at = now
        return True

    def record_probe(self, requester, subject, number, now):
        """Record that heartbeat `number` probes `subject` for `requester`."""
        self._requesters_by_number = {
            n: a
            for n, a in self._requesters_by_number.items()
            if now - a.at < PROBE_TTL_S
        }
        self._requesters_by_number[number] = ProbeRequester(
            requester, subject, now
        )

    def requester(self, subject, number):
        """Return the id that requested probe `number`, or None."""
        requester = self._requesters_by_number.get(number)
        if requester is None or requester.subject != subject:
            return None
        del self._requesters_by_number[number]
        return requester.vm_id
