"""Paths to the platform's key-value service: direct, or through a peer.

A VM that is cut off from the service, or refused by it, continues through an
entry that still reaches it. Otherwise its lease would lapse, its batches would
restart elsewhere, and requests that reach it would be refused.
"""

import abc
import asyncio
import contextlib
import contextvars
import itertools
import random
import typing

import cbor2

from anvilwell_decisions.outages import paths as choices
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import messages
from anvilwell_gateway import measures
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Limit on the size of a response, in bytes. Pages of a range hold about 1 MB;
# a watch may return more at once.
MAX_ANSWER_BYTES = 32 << 20
# Interval between probes of the direct path, in seconds. A call through a peer
# costs that peer processor time; a probe costs a tenth of a call.
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
# Added to the timeout of a call through a peer for the way to the peer, in
# seconds. The peer itself waits as long as the direct path would.
PEER_MARGIN_S = 0.2
RELAY_TARGET = "/key-value"
_POOL_KEY = "key-value"
# HTTP status of a refused call: the service refuses this VM or all VMs, or a
# peer that relays the call reports that the call did not run.
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 504

# Returns whether a peer may relay the calls made in the current context; None
# if every peer may.
_MAY_RELAY = contextvars.ContextVar("may_relay", default=None)

_LOG = logs.get_logger(__name__)


@contextlib.contextmanager
def limited_relays(may_relay):
    """Limit the peers that relay calls made in this context.

    Tasks that are started in the context keep the limit after its end.

    Parameters
    ----------
    may_relay : callable
        Returns whether a VM may relay a call, at the time of the call.
    """
    token = _MAY_RELAY.set(may_relay)
    try:
        yield
    finally:
        _MAY_RELAY.reset(token)


class StoreCall(typing.NamedTuple):
    """One call to the service, as encoded by the platform's adapter.

    ``kind`` is the name that this product uses for the operation.
    """

    kind: str
    method: str
    target: str
    headers: tuple = ()
    body: bytes = b""
    timeout_s: float = 1.0


class StoreResponse(typing.NamedTuple):
    """The service's response to a `StoreCall`."""

    status: int
    body: bytes


class StorePath(abc.ABC):
    """A path to the service."""

    @abc.abstractmethod
    async def send(self, call):
        """Return the `StoreResponse` to a `StoreCall`.

        Raises
        ------
        exceptions.KeyValueUnavailable
            With the verdict ``NOT_RUN`` only if the service never received the
            call.
        """


class DirectPath(StorePath):
    """Calls the service itself.

    Parameters
    ----------
    address : options.Address
        Where the service listens.
    """

    def __init__(self, address):
        self._address = address
        clock = asyncio.get_running_loop().time
        self._pool = connection_pool.Pool(clock, use_keepalive=True)

    def move(self, address):
        """Use a new address of the service from now on."""
        self._address = address
        self._pool.forget(_POOL_KEY)

    async def send(self, call):
        """Return the `StoreResponse` to a `StoreCall`."""
        request = messages.Request(
            call.method,
            call.target,
            (("Host", str(self._address)), *call.headers),
            call.body,
        )
        reply, body = await _ask(
            self._pool, _POOL_KEY, self._address, request, call.timeout_s
        )
        return StoreResponse(reply.status, body)


class PeerPath(StorePath):
    """Sends calls to the service through a peer.

    Parameters
    ----------
    vm_id : str
        The peer's VM.
    address : options.Address
        Where the peer serves other entries and agents.
    pool : connection_pool.Pool
        Connections to peers.
    """

    def __init__(self, vm_id, address, pool):
        self._vm_id = vm_id
        self._address = address
        self._pool = pool

    async def send(self, call):
        """Return the `StoreResponse` that the peer received."""
        request = peer_calls.build_request(RELAY_TARGET, self._address, call)
        reply, body = await _ask(
            self._pool,
            self._vm_id,
            self._address,
            request,
            call.timeout_s + PEER_MARGIN_S,
        )
        if reply.status == 200:
            return StoreResponse(*cbor2.loads(body))
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        if reply.status == _NOT_RUN_STATUS:
            verdict = verdicts.Verdict.NOT_RUN
        raise exceptions.KeyValueUnavailable(
            f"{self._vm_id} does not reach the service: {reply.status}",
            verdict=verdict,
        )


async def _ask(pool, key, address, request, timeout_s):
    try:
        return await pool.call(
            key, address, request, timeout_s, MAX_ANSWER_BYTES
        )
    except exceptions.BackendFailed as error:
        path = request.target.partition("?")[0]
        raise exceptions.KeyValueUnavailable(
            f"{path}: {error.message}", verdict=error.verdict
        ) from error


class FailoverPath(StorePath):
    """Uses the direct path, or a path through a peer while that one fails.

    It does not retry a failed call, because only the caller can tell whether a
    retry is safe. The caller's next attempt uses the path that is selected by
    then.

    Parameters
    ----------
    direct : DirectPath
        The path to use while it works.
    probe : StoreCall
        The call that costs the service least, to check whether the direct path
        works.
    """

    def __init__(self, direct, probe, rng=None):
        self.direct = direct
        self._probe_call = probe
        self._selector = choices.PathSelector(rng or random.Random())
        clock = asyncio.get_running_loop().time
        self._pool = connection_pool.Pool(clock, use_keepalive=True)
        self._paths_by_name = {choices.DIRECT: direct}
        self._listeners = []
        self._probe_task = None

    def listen(self, callback):
        """Call ``callback(is_answered)`` when the selected path changes.

        Calls that wait on the previous path may never be answered.
        ``is_answered`` is true if a response on the new path caused the
        change.
        """
        self._listeners.append(callback)

    def set_peers(self, addresses_by_vm):
        """Set the peers that may relay calls, with their addresses."""
        self._paths_by_name = {choices.DIRECT: self.direct} | {
            vm_id: PeerPath(vm_id, address, self._pool)
            for vm_id, address in addresses_by_vm.items()
        }
        if self._selector.set_peers(addresses_by_vm):
            self._changed("the peer is gone")

    async def send(self, call):
        """Return the `StoreResponse` to a `StoreCall`."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        name = self._choose_path(began_at)
        status = "none"
        try:
            answer = await self._paths_by_name[name].send(call)
            status = str(answer.status)
        except exceptions.KeyValueUnavailable as error:
            self._failed(name, began_at, error.message)
            raise
        finally:
            measures.record(
                measures.STORE_CALLS,
                loop.time() - began_at,
                kind=call.kind,
                path="peer" if name else "direct",
                status=status,
            )
        if answer.status == _NOT_RUN_STATUS:
            cause = "the service refuses this VM"
            self._failed(name, began_at, cause)
        else:
            self._answered(name)
        return answer

    def _choose_path(self, now):
        """Return the name of the path for a call in the current context."""
        may_relay = _MAY_RELAY.get()
        if may_relay is None or self._selector.current == choices.DIRECT:
            return self._selector.current
        return self._selector.path_through(may_relay, now)

    def gauge_values(self):
        """Return whether calls currently go through a peer."""
        is_through_peer = self._selector.current != choices.DIRECT
        return [measures.GaugeValue("store_through_peer", is_through_peer)]

    async def close(self):
        """Stop probing and close the connections to peers."""
        await tasks.stop(self._probe_task)
        self._pool.close()

    def _failed(self, name, began_at, cause):
        now = asyncio.get_running_loop().time()
        if self._selector.failed(name, began_at, now):
            self._changed(cause)

    def _answered(self, name):
        if self._selector.answered(name):
            self._changed("the direct path works again", True)

    def _changed(self, cause, is_answered=False):
        path = self._selector.current
        _LOG.log("path-changed", path=path or "direct", cause=cause)
        if path and (self._probe_task is None or self._probe_task.done()):
            self._probe_task = asyncio.create_task(self._probe())
        for callback in self._listeners:
            callback(is_answered)

    async def _probe(self):
        """Probe the direct path until it works again."""
        call = self._probe_call._replace(timeout_s=PROBE_TIMEOUT_S)
        for tries in itertools.count(1):
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                answer = await self.direct.send(call)
            except exceptions.KeyValueUnavailable as error:
                _LOG.routine("path-probed", tries=tries, cause=error.message)
                continue
            if answer.status != _NOT_RUN_STATUS:
                self._answered(choices.DIRECT)
                return


class CallRelay:
    """Makes calls for peers that don't reach the service themselves.

    It only uses the direct path, so a call is never relayed twice.

    Parameters
    ----------
    direct : DirectPath
        The path to the service.
    """

    def __init__(self, direct):
        self._direct = direct

    async def answer(self, request, responder):
        """Answer a peer's request."""
        call = StoreCall(*cbor2.loads(request.body))
        _LOG.routine("call-relayed", target=call.target.partition("?")[0])
        try:
            answer = await self._direct.send(call)
        except exceptions.KeyValueUnavailable as error:
            not_run = error.verdict is verdicts.Verdict.NOT_RUN
            await responder.send(
                _NOT_RUN_STATUS if not_run else _UNKNOWN_STATUS
            )
            return
        await responder.send(200, (), cbor2.dumps(answer))
