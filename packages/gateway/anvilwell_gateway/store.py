"""The platform's key-value service on an event loop, as a port."""

import abc
import asyncio
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# A call that has waited for longer when the store answers another one after
# an outage was lost with it. Many times the usual answer, and few of what
# a call may take, in seconds.
HANG_THRESHOLD_S = 0.1
# Wait between repeats of a write whose answer was lost, in seconds.
# Many times the service's usual answer (4 ms), few of them in the two
# seconds that a caller waits.
WRITE_RETRY_S = 0.15

_LOG = logs.get_logger(__name__)


class Changes(typing.NamedTuple):
    """What a watch has seen; ``revision`` is where to go on."""

    changes: tuple
    revision: int


class HistoryGone(exceptions.AnvilwellError):
    """The service has forgotten the changes asked for; read anew."""


class StoreRecovered(exceptions.KeyValueUnavailable):
    """A call hung until the store answered another one: repeat it now."""


class OutageTracker:
    """Notes when the store answers again after it did not."""

    def __init__(self):
        self._regained_listeners = []
        self._is_unanswered = False
        self._started_at_by_call = {}
        self._cancelled_calls = set()

    def listen_regained(self, callback):
        """Call `callback` when a call succeeds after one has failed.

        A watch that waited meanwhile may hang on a dead connection.
        """
        self._regained_listeners.append(callback)

    def note_failure(self):
        """Note that a call had no answer."""
        self._is_unanswered = True

    def note_success(self):
        """Note that a call was answered."""
        if self._is_unanswered:
            self._is_unanswered = False
            loop = asyncio.get_running_loop()
            for callback in self._regained_listeners:
                loop.call_soon(callback)
            self._cancel_hung_calls(loop.time())

    def _cancel_hung_calls(self, now):
        for call, began_at in self._started_at_by_call.items():
            if now - began_at >= HANG_THRESHOLD_S and call.cancel():
                self._cancelled_calls.add(call)

    async def cancel_if_hung(self, call):
        """Await `call`, a coroutine, as long as there is hope for it.

        Raises
        ------
        AnswersAgain
            If it hung while the store gave no answer, which it does now.
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
    """Linearizable store; the types are those of ``ports.keyvalue``.

    Every method raises ``exceptions.KeyValueUnavailable``; its verdict
    is ``NOT_RUN`` only if nothing was done.
    """

    @abc.abstractmethod
    async def ping(self):
        """Make the cheapest call there is."""

    @abc.abstractmethod
    async def get(self, key):
        """Return the `Entry` of `key`, or None."""

    @abc.abstractmethod
    async def get_prefix(self, prefix, after="", may_be_stale=False):
        """Return the `Snapshot` of keys with `prefix` behind `after`.

        A stale read costs a tenth; it may be seconds old.
        """

    @abc.abstractmethod
    async def watch(self, prefix, revision, wait_s):
        """Return the `Changes` after `revision`, perhaps none.

        Raises
        ------
        HistoryGone
            If they are no longer known.
        """

    @abc.abstractmethod
    async def swap(self, swaps):
        """Apply all `Swap`s and `Guard`s or none; a `SwapResult`.

        If nothing landed, ``entries_by_key`` holds what is there now.

        Raises
        ------
        exceptions.NotFound
            If a swap names a lease that has ended.
        """

    @abc.abstractmethod
    async def put(self, key, value):
        """Write `value`, whatever was there."""

    @abc.abstractmethod
    async def remove(self, keys):
        """Delete `keys`, whatever their revision."""

    @abc.abstractmethod
    async def grant(self, ttl_s):
        """Return the id of a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    async def keep_alive(self, lease):
        """Renew `lease`; return whether it still holds."""

    @abc.abstractmethod
    async def revoke(self, lease):
        """End `lease` and delete its keys."""


async def swap_until_known(store, swaps, timeout_s, refusal_timeout_s=None):
    """Apply `swaps`, and repeat them while their outcome is unknown.

    Each swap must expect a revision that its own landing changes, so
    that it lands once at most. If a first try landed and its answer was
    lost, the repeat finds that entry: the caller tells its own value
    from another's.

    Parameters
    ----------
    timeout_s : float
        Longest time that the outcome may be unknown.
    refused_s : float, optional
        Give up after so long already if no try can ever land.

    Raises
    ------
    exceptions.KeyValueUnavailable
        If the outcome is still not known; with ``NOT_RUN`` only if no
        try may ever land.
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
