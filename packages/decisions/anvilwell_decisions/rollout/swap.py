"""Decides how an agent executes the leader's orders on its engine."""

import enum
import typing

from anvilwell_decisions.leases import fencing
from anvilwell_kernel.messages import orders as messages

# Failed attempts after which a version is abandoned under its generation.
ATTEMPTS = 3
# The wait after a failed attempt doubles from the first value up to the last,
# before jitter.
FIRST_BACKOFF_S = 0.5
LAST_BACKOFF_S = 8.0
# Abandoned versions that are kept and reported; the oldest are dropped.
MAX_FAILED = 16
# An engine is given this long to complete an activation.
ACTIVATE_TIMEOUT_S = 20.0
# An engine may still complete an activation this long after its response was
# lost or its agent restarted, as the order may have been sent just before.
CONFIRM_TIMEOUT_S = ACTIVATE_TIMEOUT_S
_ACTIVATE = messages.Kind.ACTIVATE

_ACTIVITIES_BY_KIND = {
    messages.Kind.LOAD: messages.Activity.LOADING,
    messages.Kind.ACTIVATE: messages.Activity.ACTIVATING,
}


class CallOutcome(enum.Enum):
    """The outcome of a call to the engine."""

    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Execute(typing.NamedTuple):
    """Action: send `order` to the engine, then read the engine's version."""

    order: messages.Order


class Swap:
    """Executes orders on one engine, one at a time.

    Times are in seconds of the monotonic clock. The version in reports is
    always the one last read from the engine, never the target version. A
    version whose attempts failed is abandoned under the generation of the
    document that requires it; applying the document again retries it.

    An engine whose response to an activation was lost, or whose agent has
    just started, may still be about to swap. For `confirm_timeout_s` seconds
    it gets no order and is reported as activating.

    Parameters
    ----------
    vm_id : str
        The agent's VM.
    rng : random.Random
        Source of the jitter of the backoff.
    now : float
        Time at which the agent started.
    confirm_timeout_s : float
        See above.
    """

    def __init__(self, vm_id, rng, now, confirm_timeout_s=CONFIRM_TIMEOUT_S):
        self.gate = fencing.FencingGate()
        self._vm_id = vm_id
        self._rng = rng
        self._version = ""
        self._loaded = set()
        self._failures_by_attempt = {}
        self._failed = []
        self._running = None
        self._unconfirmed = None
        self._confirm_timeout_s = confirm_timeout_s
        self._unconfirmed_until = now + confirm_timeout_s
        self._wait_until = None
        self._last = (0, 0)
        self._sequence = 0

    def order(self, order, now):
        """Accept an order of a leader.

        Status orders, duplicates, orders that were overtaken by a later one
        and orders that arrive while the engine is busy need no action.

        Returns
        -------
        list of Execute

        Raises
        ------
        exceptions.Fenced, exceptions.Refused
            See ``fencing.FencingGate.admit``.
        """
        self.gate.admit(order.fencing)
        if order.fencing > self._last[0]:
            self._last = (order.fencing, 0)
        is_new = (order.fencing, order.number) > self._last
        if order.kind is messages.Kind.STATUS or not is_new:
            return []
        self._last = (order.fencing, order.number)
        if self._activity(now) is not messages.Activity.IDLE:
            return []
        if self._is_no_op(order):
            return []
        self._running = order
        return [Execute(order)]

    def executed(self, outcome, now):
        """Process the outcome of the running order.

        The engine's version must have been passed to `read` before. An
        activation counts as done if and only if the engine reports that it
        runs the version, whatever its response to the order was.
        """
        order, self._running = self._running, None
        if self._is_done(order, outcome):
            self._succeed(order)
        elif order.kind is _ACTIVATE and outcome is CallOutcome.UNKNOWN:
            self._unconfirmed = order
            self._unconfirmed_until = now + self._confirm_timeout_s
        else:
            self._fail(order, now)

    def read(self, version, now):
        """Process the version read from the engine, "" if the read failed."""
        if version:
            self._loaded.add(version)
        self._version = version
        order = self._unconfirmed
        if order is None:
            return
        if version == order.version:
            self._unconfirmed = None
            self._unconfirmed_until = now
            self._succeed(order)
        elif now >= self._unconfirmed_until:
            self._unconfirmed = None
            self._fail(order, now)

    def report(self, now, wall_ms):
        """Return the `messages.Report` of the current state.

        Parameters
        ----------
        now : float
            Monotonic time, s.
        wall_ms : int
            Wall-clock time. It keeps the sequence numbers of reports
            increasing across restarts of the agent.
        """
        self._sequence = max(self._sequence + 1, wall_ms)
        fencing, number = self._last
        return messages.Report(
            self._vm_id,
            self._version,
            sorted(self._loaded),
            list(self._failed),
            self._activity(now),
            fencing,
            number,
            self._sequence,
        )

    def refusal(self):
        """Build the `messages.Refusal` for an order that the gate rejected."""
        return messages.Refusal(self._vm_id, self.gate.highest or 0)

    def _is_no_op(self, order):
        """Return whether `order` is done already or can't succeed.

        An activation can't succeed before its version is loaded.
        """
        if order.kind is messages.Kind.LOAD:
            return order.version in self._loaded
        is_loaded = order.version in self._loaded
        return order.version == self._version or not is_loaded

    def _is_done(self, order, outcome):
        if order.kind is _ACTIVATE:
            return self._version == order.version
        return outcome is CallOutcome.DONE

    def _succeed(self, order):
        self._loaded.add(order.version)
        self._failures_by_attempt.pop(_attempt(order), None)

    def _fail(self, order, now):
        self._loaded.discard(order.version)
        attempt, target = _attempt(order), _target(order)
        count = self._failures_by_attempt.get(attempt, 0) + 1
        self._failures_by_attempt[attempt] = count
        if count >= ATTEMPTS and target not in self._failed:
            self._failed.append(target)
            del self._failed[:-MAX_FAILED]
            del self._failures_by_attempt[attempt]
        backoff_s = min(FIRST_BACKOFF_S * 2 ** (count - 1), LAST_BACKOFF_S)
        self._wait_until = now + backoff_s * self._rng.uniform(0.5, 1.5)

    def _is_unconfirmed(self, now):
        return self._unconfirmed is not None or now < self._unconfirmed_until

    def _is_waiting(self, now):
        return self._wait_until is not None and now < self._wait_until

    def _activity(self, now):
        if self._running:
            return _ACTIVITIES_BY_KIND[self._running.kind]
        if self._is_unconfirmed(now):
            return messages.Activity.ACTIVATING
        if self._is_waiting(now):
            return messages.Activity.WAITING
        return messages.Activity.IDLE


class _Attempt(typing.NamedTuple):
    kind: messages.Kind
    target: messages.Failed


def _attempt(order):
    """Return the key under which failures of `order` are counted.

    Loads and activations of a version are counted separately, so that a
    successful load does not reset the count of failed activations.
    """
    return _Attempt(order.kind, _target(order))


def _target(order):
    return messages.Failed(order.version, order.generation)
