"""Decides from the silence of a subject what to think of it."""

import enum

HEARTBEAT_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.5
SUSPICION_S = 0.75
MAX_SLOWNESS = 3
ISOLATED_SUBJECTS = 3
ISOLATED_S = 1.0
_KEPT_HEARTBEATS = 64


class Finding(enum.IntEnum):
    """How silent a subject is."""

    ANSWERS = 0
    LATE = 1
    SUSPECT = 2
    DEAD = 3


class Subject:
    """The heartbeats sent to one member and those it answered.

    A delayed ack proves life only at the time its heartbeat left, so
    silence counts from the first heartbeat after the last one acked.
    """

    def __init__(self, now):
        self.due_at = now
        self.probed_at = None
        self._sent_at_by_number = {}

    def sent(self, number, now):
        """Note that heartbeat `number` was sent."""
        self._sent_at_by_number[number] = now
        if len(self._sent_at_by_number) > _KEPT_HEARTBEATS:
            _, second, *_ = self._sent_at_by_number
            del self._sent_at_by_number[second]

    def acked(self, number):
        """Note the ack of `number`; say whether it was awaited."""
        if number not in self._sent_at_by_number:
            return False
        self._sent_at_by_number = {
            n: at for n, at in self._sent_at_by_number.items() if n > number
        }
        return True

    def confirm_alive(self, now):
        """Note that another neighbour reached it by now."""
        self._sent_at_by_number = dict.fromkeys(self._sent_at_by_number, now)

    def reset_silence(self):
        """Forget heartbeats not acked: the fault may be our own."""
        self._sent_at_by_number = {}

    def silence_s(self, now):
        """Return for how long it has owed an ack."""
        return now - min(self._sent_at_by_number.values(), default=now)


class LocalHealth:
    """Knows when this daemon itself is slow, paused or cut off.

    After a gap between ticks nothing is found until a neighbour has
    answered since, or `RESYNC_LIMIT_S` passed. Late acks from several
    subjects stretch all timeouts, up to `MAX_SLOWNESS` times.
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
        """Note any message from another daemon."""
        self._last_message_at = now

    def tick(self, now):
        """Note one tick; return whether a pause lies before it."""
        gap = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if gap <= self.GAP_S:
            return False
        self._resumed_at = now
        return True

    def answered(self):
        """Note that some neighbour answered a heartbeat."""
        self._resumed_at = None

    def can_evaluate(self, now):
        """Return whether findings about others can be trusted."""
        if self._resumed_at is None:
            return True
        return now - self._resumed_at >= self.RESYNC_LIMIT_S

    def measure(self, silences_s, now):
        """Judge ourselves by the silences of all our subjects.

        Whoever still hears others is not cut off: then all subjects
        have truly died at once.
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
        """Return the `Finding` for a subject silent for so long.

        Nobody is found dead while all subjects are silent: then it is
        far likelier that this daemon is cut off.
        """
        late = ACK_TIMEOUT_S * self.slowness
        suspect = late + PROBE_TIMEOUT_S * self.slowness
        dead = suspect + SUSPICION_S * self.slowness
        if silence_s >= dead and not self.is_isolated:
            return Finding.DEAD
        if silence_s >= suspect:
            return Finding.SUSPECT
        return Finding.LATE if silence_s >= late else Finding.ANSWERS
