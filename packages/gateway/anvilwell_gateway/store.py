"""The asynchronous interface to the platform's key-value service."""

import abc
import asyncio
import contextvars
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# When the store answers a call after an outage, other calls that have been
# waiting for at least this many seconds are considered lost. It is many times
# the usual answer time and a fraction of a call's timeout.
HANG_THRESHOLD_S = 0.1
# Wait between attempts of a write whose answer was lost, in seconds. It is
# many times the service's usual answer time, yet allows several attempts in
# the two seconds that a caller waits.
WRITE_RETRY_S = 0.15

_LOG = logs.get_logger(__name__)


class Changes(typing.NamedTuple):
    """The changes that a watch returned.

    ``revision`` is the revision after which the next watch continues, and
    ``age_s`` the time since the changes up to it were known to be complete, in
    seconds; 0 for a watch of the store itself.
    """

    changes: tuple
    revision: int
    age_s: float = 0.0


class HistoryGone(exceptions.AnvilwellError):
    """The service no longer keeps these changes; read all keys again."""


class StoreRecovered(exceptions.KeyValueUnavailable):
    """A hung call was cancelled as the store answers again; retry it."""


class OutageTracker:
    """Detects when the store answers again after calls had failed."""

    def __init__(self):
        self._regained_listeners = []
        self._is_unanswered = False
        self._answered = asyncio.Event()
        # When the store last answered a call, on the event loop's clock.
        self.answered_at = float("-inf")
        self._started_at_by_call = {}
        self._cancelled_calls = set()

    def listen_regained(self, callback):
        """Call `callback` when a call succeeds after one has failed.

        A watch that was waiting during the outage may hang on a dead
        connection, so the callback should restart it. It runs in a copy of
        the current context and not in that of the answered call, whose limit
        of relays would apply to the new watch too.
        """
        context = contextvars.copy_context()
        self._regained_listeners.append((callback, context))

    def note_failure(self):
        """Record that a call received no answer."""
        self._is_unanswered = True

    def note_success(self):
        """Record that a call was answered.

        If that ends an outage, notify the listeners and cancel hung calls.
        """
        loop = asyncio.get_running_loop()
        self.answered_at = loop.time()
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()
        if self._is_unanswered:
            self._is_unanswered = False
            for callback, context in self._regained_listeners:
                loop.call_soon(callback, context=context)
            self._cancel_hung_calls(loop.time())

    async def wait_for_answer(self, since):
        """Wait until the store has answered a call after the time `since`."""
        while self.answered_at <= since:
            await self._answered.wait()

    def _cancel_hung_calls(self, now):
        for call, began_at in self._started_at_by_call.items():
            if now - began_at >= HANG_THRESHOLD_S and call.cancel():
                self._cancelled_calls.add(call)

    async def cancel_if_hung(self, call):
        """Await the coroutine `call`, but cancel it if an outage made it hang.

        Raises
        ------
        StoreRecovered
            If the call had been waiting for at least ``HANG_THRESHOLD_S`` when
            the store answered another call after an outage.
        """
        task = asyncio.create_task(call)
        self._started_at_by_call[task] = asyncio.get_running_loop().time()
        try:
            return await task
        except asyncio.CancelledError:
            is_cancelled_as_hung = task in self._cancelled_calls
            if not is_cancelled_as_hung or asyncio.current_task().cancelling():
                raise
            raise StoreRecovered("the store answers again") from None
        finally:
            del self._started_at_by_call[task]
            self._cancelled_calls.discard(task)


class AsyncStore(OutageTracker, abc.ABC):
    """Linearizable key-value store; the types are those of ``ports.keyvalue``.

    Every method may raise ``exceptions.KeyValueUnavailable``. Its verdict is
    ``NOT_RUN`` only if the call had no effect.
    """

    @abc.abstractmethod
    async def ping(self):
        """Make the call that costs the service least."""

    @abc.abstractmethod
    async def get(self, key):
        """Return the `Entry` of `key`, or None."""

    @abc.abstractmethod
    async def get_prefix(self, prefix, after="", may_be_stale=False):
        """Return the `Snapshot` of the keys with `prefix` that follow `after`.

        A stale read costs a tenth of a linearizable one, but its data may be
        seconds old.
        """

    @abc.abstractmethod
    async def watch(self, prefix, revision, wait_s):
        """Return the `Changes` after `revision`, possibly none.

        Waits for a change for up to `wait_s` seconds.

        Raises
        ------
        HistoryGone
            If the service no longer keeps the changes after `revision`.
        """

    @abc.abstractmethod
    async def swap(self, swaps):
        """Apply all `Swap`s and `Guard`s or none; return a `SwapResult`.

        If they were not applied, ``entries_by_key`` holds the current `Entry`
        of each key.

        Raises
        ------
        exceptions.NotFound
            If a swap names a lease that has ended.
        """

    @abc.abstractmethod
    async def put(self, key, value, guard=None):
        """Write `value` to `key` whatever its revision.

        If the condition of a `Guard` does not hold, nothing is written.
        """

    @abc.abstractmethod
    async def remove(self, keys):
        """Delete `keys`, whatever their revision."""

    @abc.abstractmethod
    async def grant(self, ttl_s):
        """Return the id of a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    async def keep_alive(self, lease):
        """Renew `lease`; return whether it is still valid."""

    @abc.abstractmethod
    async def revoke(self, lease):
        """End `lease` and delete the keys attached to it."""


async def swap_until_known(store, swaps, timeout_s, refusal_timeout_s=None):
    """Apply `swaps`, repeating them while their outcome is unknown.

    Each swap must expect a revision that applying it changes, so that it is
    applied at most once. If an earlier attempt was applied but its answer was
    lost, the repeated attempt finds the value that it wrote; the caller
    compares values to tell whether the stored one is its own.

    Parameters
    ----------
    timeout_s : float
        Longest time that the outcome may stay unknown.
    refusal_timeout_s : float, optional
        Give up after this time if every attempt was refused, so that none can
        have been applied.

    Raises
    ------
    exceptions.KeyValueUnavailable
        If the outcome is still unknown. Its verdict is ``NOT_RUN`` only if no
        attempt can still be applied.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    refusal_timeout_s = (
        timeout_s if refusal_timeout_s is None else refusal_timeout_s
    )
    may_land = None
    while True:
        try:
            return await store.swap(swaps)
        except exceptions.KeyValueUnavailable as error:
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                may_land = error
            limit_s = timeout_s if may_land else refusal_timeout_s
            if loop.time() + WRITE_RETRY_S >= started_at + limit_s:
                raise may_land or error from None
            _LOG.log("write-repeated", key=swaps[0].key, cause=error.message)
            is_recovered = isinstance(error, StoreRecovered)
        if not is_recovered:
            await asyncio.sleep(WRITE_RETRY_S)
