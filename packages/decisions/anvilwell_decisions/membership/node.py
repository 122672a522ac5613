"""One daemon's view of the fleet, and the messages that update it."""

import itertools
import typing

from anvilwell_decisions.membership import detector
from anvilwell_decisions.membership import news
from anvilwell_decisions.membership import rings
from anvilwell_decisions.membership import table
from anvilwell_decisions.membership import watch
from anvilwell_kernel.messages import membership as messages

# Neighbours that are requested to probe a member whose ack is late.
PROBERS = 3
# Mean time in seconds between exchanges of the table with a neighbour, and
# until the next one after an exchange that brought new records.
EXCHANGE_PERIOD_S = 10.0
FOLLOW_UP_EXCHANGE_S = 0.5
# Mean time in seconds between probes of a random dead member.
DEAD_PROBE_PERIOD_S = 5.0
# Seconds after which the record of a dead member is removed.
TOMBSTONE_S = 3600.0
# Records in one message of an exchange, unless one bucket has more.
MAX_EXCHANGED = 200


class Send(typing.NamedTuple):
    """Send `message` to the daemon `vm_id` at `address`.

    ``address`` is "" for a daemon whose record has not arrived yet.
    """

    vm_id: str
    address: str
    message: tuple


class Changed(typing.NamedTuple):
    """A member's record changed; ``before`` is None for a new one."""

    before: messages.Member | None
    after: messages.Member


class Node:
    """The membership protocol of one daemon, without I/O.

    Methods take `now` in monotonic seconds and return a list of
    actions, `Send` or `Changed`.

    Parameters
    ----------
    member : messages.Member
        This daemon; ``incarnation`` must not be lower than at an
        earlier start (the daemon passes wall-clock milliseconds).
    rng : random.Random
        Source of jitter and choice.
    """

    def __init__(self, member, rng):
        self.me = member
        self._born = member.incarnation
        self._rng = rng
        self._table = table.MemberTable()
        self._rings = rings.Rings()
        self._news = news.News()
        self._watch = watch.Watch()
        self._health = detector.LocalHealth()
        self._numbers = itertools.count(1)
        self._died_at_by_id = {}
        self._exchange_at = None
        self._probe_dead_at = None
        self._actions = []
        self._now = 0.0
        self._merge(member)

    @property
    def members_by_id(self):
        """All known members by id, including this daemon and dead members."""
        return self._table.members_by_id

    @property
    def is_isolated(self):
        """Whether all neighbours are silent."""
        return self._health.is_isolated

    @property
    def neighbours(self):
        """Ids that this daemon sends heartbeats to or receives them from."""
        successors = self._rings.successors(self.me.vm_id)
        predecessors = self._rings.predecessors(self.me.vm_id)
        return list(dict.fromkeys([*successors, *predecessors]))

    def tick(self, now):
        """Send all messages that are due; call about ten times a second."""
        self._begin(now)
        if self._health.tick(now):
            self._watch.reset_silence()
            self._exchange_at = now
        for vm_id in self._watch.due(now, self._rng):
            self._send_heartbeat(vm_id)
        if self._health.can_evaluate(now):
            self._detect_failures()
        self._push()
        self._exchange()
        self._probe_dead()
        self._remove_expired()
        return self._actions

    def meet(self, now, vm_id):
        """Exchange tables with a daemon from the seeds or the VM list."""
        self._begin(now)
        self._send(vm_id, self._digest())
        return self._actions

    def leave(self, now):
        """Announce that this daemon accepts no new work."""
        self._begin(now)
        if self.me.state is not messages.State.LEAVING:
            self._update_own_record(
                self.me.incarnation + 1, messages.State.LEAVING
            )
            self._push()
        return self._actions

    def mark_leaving(self, now, vm_ids):
        """Mark `vm_ids` as leaving, as the VM list reports."""
        self._begin(now)
        for vm_id in vm_ids:
            known = self.members_by_id.get(vm_id)
            if known and known.state < messages.State.LEAVING:
                state = messages.State.LEAVING
                self._handle_record(known._replace(state=state), None)
        self._push()
        return self._actions

    def receive(self, now, sender, message):
        """Handle `message` from the daemon `sender`."""
        self._begin(now)
        self._health.message_received(now)
        _RECEIVERS[type(message)](self, sender, message)
        return self._actions

    def _begin(self, now):
        self._now = now
        self._actions = []

    def _send(self, vm_id, message, address=""):
        known = self.members_by_id.get(vm_id)
        address = known.address if known else address
        self._actions.append(Send(vm_id, address, message))

    def _jittered(self, period_s):
        return self._now + period_s * self._rng.uniform(0.5, 1.5)

    # Records

    def _handle_record(self, member, source):
        if member.vm_id == self.me.vm_id:
            self._handle_own_record(member)
            return
        if source:
            self._news.mark_received(source, member)
        is_known = member.vm_id in self.members_by_id
        if is_known or member.state is not messages.State.DEAD:
            self._merge(member, source)

    def _handle_own_record(self, member):
        leaving = messages.State.LEAVING
        if member.incarnation < self._born:
            return  # a record of an earlier start of this daemon
        if member.state is leaving and self.me.state is not leaving:
            top = max(member.incarnation, self.me.incarnation)
            self._update_own_record(top + 1, leaving)
        elif member.rank > self.me.rank:
            self._update_own_record(member.incarnation + 1, self.me.state)

    def _update_own_record(self, incarnation, state):
        self.me = self.me._replace(incarnation=incarnation, state=state)
        self._merge(self.me)

    def _merge(self, member, source=None, is_news=True):
        before = self.members_by_id.get(member.vm_id)
        if not self._table.merge(member):
            return False
        self._actions.append(Changed(before, member))
        self._end_trial(member)
        self._update_rings(member)
        if is_news:
            self._news.add(member, source, self._now)
        return True

    def _end_trial(self, member):
        claim = self._watch.claim(member.vm_id)
        if claim and member.rank >= claim.rank:
            self._watch.end_trial(member.vm_id)

    def _update_rings(self, member):
        is_placed = member.vm_id in self._rings
        is_dead = member.state is messages.State.DEAD
        if is_dead:
            self._died_at_by_id.setdefault(member.vm_id, self._now)
        else:
            self._died_at_by_id.pop(member.vm_id, None)
        if is_placed and is_dead:
            self._rings.remove(member.vm_id)
            self._update_neighbours()
        elif not is_placed and not is_dead:
            self._rings.add(member.vm_id, member.failure_domain)
            self._update_neighbours()

    def _update_neighbours(self):
        successors = self._rings.successors(self.me.vm_id)
        self._watch.set_neighbours(successors, self._now)
        self._news.set_neighbours(self.neighbours)

    # Heartbeats

    def _send_heartbeat(self, vm_id):
        number = next(self._numbers)
        self._watch.sent(vm_id, number, self._now)
        members = self._news.take(vm_id, number, self._now)
        to_refute = self._record_to_refute(vm_id)
        if to_refute and to_refute not in members:
            members.append(to_refute)
        self._send(vm_id, messages.Heartbeat(number, members))

    def _record_to_refute(self, vm_id):
        """Return a record of `vm_id` to send to it, which it may refute."""
        claim = self._watch.claim(vm_id)
        if claim:
            return claim
        known = self.members_by_id.get(vm_id)
        if known and known.state is not messages.State.LIVE:
            return known
        return None

    def _receive_heartbeat(self, sender, heartbeat):
        for member in heartbeat.members:
            self._handle_record(member, sender)
        names_me = any(m.vm_id == self.me.vm_id for m in heartbeat.members)
        about = [self.me] if names_me else []
        to_refute = self._record_to_refute(sender)
        if to_refute:
            about.append(to_refute)
        self._send(sender, messages.Ack(heartbeat.number, about))
        if sender not in self.members_by_id:
            self._send(sender, self._digest())

    def _receive_ack(self, sender, ack):
        if self._watch.acked(sender, ack.number):
            self._health.answered()
        self._news.acknowledge(sender, ack.number)
        for member in ack.members:
            self._handle_record(member, sender)
        requester = self._watch.requester(sender, ack.number)
        if requester:
            self._send(requester, messages.ProbeAck(sender))

    # Failure detection

    def _detect_failures(self):
        was_isolated = self.is_isolated
        silences_s = self._watch.neighbour_silences_s(self._now)
        self._health.measure(silences_s, self._now)
        if was_isolated and not self.is_isolated:
            # The isolation caused the silences: measure them again.
            self._watch.reset_silence()
            return
        for vm_id, subject in self._watch.subjects_by_id.items():
            finding = self._health.evaluate(subject.silence_s(self._now))
            self._act_on(self.members_by_id[vm_id], finding)

    def _act_on(self, member, finding):
        claim = self._watch.claim(member.vm_id)
        if finding is detector.Finding.LATE:
            self._request_probes(member)
        elif finding is detector.Finding.SUSPECT and not claim:
            self._merge(member._replace(state=messages.State.SUSPECT))
        elif finding is detector.Finding.DEAD:
            dead = claim or member
            self._merge(dead._replace(state=messages.State.DEAD))

    def _request_probes(self, member):
        if not self._watch.is_probe_due(member.vm_id, self._now):
            return
        helpers = [v for v in self.neighbours if v != member.vm_id]
        probe = messages.Probe(member.vm_id, member.address)
        for vm_id in self._rng.sample(helpers, min(PROBERS, len(helpers))):
            self._send(vm_id, probe)

    def _receive_probe(self, sender, probe):
        number = next(self._numbers)
        self._watch.record_probe(sender, probe.subject, number, self._now)
        heartbeat = messages.Heartbeat(number, [])
        self._send(probe.subject, heartbeat, probe.address)

    def _receive_probe_ack(self, sender, ack):
        self._watch.confirm_alive(ack.subject, self._now)

    # Spread and repair

    def _push(self):
        for vm_id in self._news.urgent(self._now):
            self._send_heartbeat(vm_id)

    def _digest(self):
        return messages.Digest(self._table.digest())

    def _exchange(self):
        if self._exchange_at is None:
            self._exchange_at = self._jittered(EXCHANGE_PERIOD_S)
        partners = self._watch.neighbours
        if self._now < self._exchange_at or not partners:
            return
        self._exchange_at = self._jittered(EXCHANGE_PERIOD_S)
        self._send(self._rng.choice(partners), self._digest())

    def _receive_digest(self, sender, digest):
        if len(digest.hashes) != table.BUCKETS:
            return
        differing = self._table.differing(digest.hashes)
        if differing:
            self._send_difference(sender, differing, wants_answer=True)

    def _send_difference(self, vm_id, buckets, wants_answer):
        chosen, members = [], []
        for bucket in self._rng.sample(buckets, len(buckets)):
            found = self._table.members_in(bucket)
            if members and len(members) + len(found) > MAX_EXCHANGED:
                break
            chosen.append(bucket)
            members.extend(found)
        difference = messages.Difference(chosen, members, wants_answer)
        self._send(vm_id, difference)

    def _receive_difference(self, sender, difference):
        for member in difference.members:
            if self._needs_trial(member):
                self._watch.challenge(member, self._now)
            else:
                self._merge_exchanged(sender, member)
        buckets = [b for b in difference.buckets if 0 <= b < table.BUCKETS]
        if difference.wants_answer:
            self._send_difference(sender, buckets, wants_answer=False)

    def _merge_exchanged(self, sender, member):
        """Merge a record from another daemon's table.

        Most others have the record already, so it is not flooded: otherwise
        a joining daemon would send the whole fleet's records to its
        neighbours. If it is new, the next exchange of tables spreads it.
        """
        is_news = (
            member.vm_id in (sender, self.me.vm_id)
            or member.state is messages.State.LEAVING
        )
        if is_news:
            self._handle_record(member, sender)
            return
        is_dead = member.state is messages.State.DEAD
        if not is_dead and self._merge(member, sender, is_news=False):
            soon = self._jittered(FOLLOW_UP_EXCHANGE_S)
            self._exchange_at = min(self._exchange_at or soon, soon)

    def _needs_trial(self, member):
        """Return whether a claim of death must be verified first.

        After a network split each side claims that the other is dead.
        Accepting these claims would mark live members dead on both sides.
        """
        known = self.members_by_id.get(member.vm_id)
        return (
            member.state is messages.State.DEAD
            and member.vm_id != self.me.vm_id
            and known is not None
            and known.rank < member.rank
        )

    def _probe_dead(self):
        """Probe a random dead member periodically: a split may have healed."""
        if self._probe_dead_at is None:
            self._probe_dead_at = self._jittered(DEAD_PROBE_PERIOD_S)
        if self._now < self._probe_dead_at or not self._died_at_by_id:
            return
        self._probe_dead_at = self._jittered(DEAD_PROBE_PERIOD_S)
        vm_id = self._rng.choice(list(self._died_at_by_id))
        self._send_heartbeat(vm_id)
        self._send(vm_id, self._digest())

    def _remove_expired(self):
        expired = [
            vm_id
            for vm_id, at in self._died_at_by_id.items()
            if self._now - at >= TOMBSTONE_S
        ]
        for vm_id in expired:
            del self._died_at_by_id[vm_id]
            self._table.remove(vm_id)


_RECEIVERS = {
    messages.Heartbeat: Node._receive_heartbeat,
    messages.Ack: Node._receive_ack,
    messages.Probe: Node._receive_probe,
    messages.ProbeAck: Node._receive_probe_ack,
    messages.Digest: Node._receive_digest,
    messages.Difference: Node._receive_difference,
}
