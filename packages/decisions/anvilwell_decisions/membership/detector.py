"""Detects failed members by how long they leave heartbeats unacked."""

import enum

HEARTBEAT_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.5
# A suspect is dead after this many further seconds of silence.
SUSPICION_S = 0.75
MAX_SLOWNESS = 3
# This daemon is isolated if it has at least this many subjects, all late, and
# has received no message at all for this many seconds.
ISOLATED_SUBJECTS = 3
ISOLATED_S = 1.0
_KEPT_HEARTBEATS = 64


class Finding(enum.IntEnum):
    """Result of evaluating how long a subject has been silent."""

    ANSWERS = 0
    LATE = 1
    SUSPECT = 2
    DEAD = 3


class Subject:
    """Tracks the heartbeats sent to one member and their acks.

    A delayed ack only proves that the member was alive when the heartbeat
    was sent. Silence therefore counts from the first heartbeat sent after
    the last one that was acked.
    """

    def __init__(self, now):
        self.due_at = now
        self.probed_at = None
        self._sent_at_by_number = {}

    def sent(self, number, now):
        """Record that heartbeat `number` was sent."""
        self._sent_at_by_number[number] = now
        if len(self._sent_at_by_number) > _KEPT_HEARTBEATS:
            _, second, *_ = self._sent_at_by_number
            del self._sent_at_by_number[second]

    def acked(self, number):
        """Record the ack of `number`; return whether it was outstanding."""
        if number not in self._sent_at_by_number:
            return False
        self._sent_at_by_number = {
            n: at for n, at in self._sent_at_by_number.items() if n > number
        }
        return True

    def confirm_alive(self, now):
        """Record that another neighbour has just reached the member."""
        self._sent_at_by_number = dict.fromkeys(self._sent_at_by_number, now)

    def reset_silence(self):
        """Drop outstanding heartbeats, as this daemon may be at fault."""
        self._sent_at_by_number = {}

    def silence_s(self, now):
        """Return how long the oldest outstanding heartbeat has waited."""
        return now - min(self._sent_at_by_number.values(), default=now)


class LocalHealth:
    """Detects when this daemon itself is slow, paused or isolated.

    After a gap between ticks, failure detection is suspended until a
    neighbour has acked a heartbeat or `RESYNC_LIMIT_S` has passed. Late
    acks from several subjects extend all timeouts, up to `MAX_SLOWNESS`
    times.
    """

    GAP_S = 1.0
    RESYNC_LIMIT_S = 5.0

    def __init__(self):
        self.slowness = 1
        self.is_isolated = False
        self._ticked_at = None
        self._resumed_at = None
        self._last_message_at = None

    def message_received(self, now):
        """Record that a message from another daemon arrived."""
        self._last_message_at = now

    def tick(self, now):
        """Record a tick; return whether this daemon was paused before it."""
        gap = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if gap <= self.GAP_S:
            return False
        self._resumed_at = now
        return True

    def answered(self):
        """Record that a neighbour acked a heartbeat."""
        self._resumed_at = None

    def can_evaluate(self, now):
        """Return whether silences of others can be evaluated now."""
        if self._resumed_at is None:
            return True
        return now - self._resumed_at >= self.RESYNC_LIMIT_S

    def measure(self, silences_s, now):
        """Update `slowness` and `is_isolated` from all subjects' silences.

        A daemon that still receives messages from others is not isolated.
        In that case all its subjects have actually died at once.
        """
        late = sum(silence >= ACK_TIMEOUT_S for silence in silences_s)
        self.slowness = min(max(late, 1), MAX_SLOWNESS)
        all_late = late == len(silences_s)
        receives_nothing = (
            self._last_message_at is None
            or now - self._last_message_at > ISOLATED_S
        )
        self.is_isolated = (
            all_late and receives_nothing and late >= ISOLATED_SUBJECTS
        )

    def evaluate(self, silence_s):
        """Return the `Finding` for a subject's silence in seconds.

        No subject is declared dead while this daemon is isolated: if all
        subjects are silent, its own network is far more likely to be at
        fault.
        """
        late = ACK_TIMEOUT_S * self.slowness
        suspect = late + PROBE_TIMEOUT_S * self.slowness
        dead = suspect + SUSPICION_S * self.slowness
        if silence_s >= dead and not self.is_isolated:
            return Finding.DEAD
        if silence_s >= suspect:
            return Finding.SUSPECT
        return Finding.LATE if silence_s >= late else Finding.ANSWERS
