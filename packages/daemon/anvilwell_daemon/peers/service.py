"""The service ``peers``: control messages to other daemons."""

import asyncio
import contextlib
import functools

import websockets
from websockets.asyncio import client

from anvilwell_daemon.peers import link as links
from anvilwell_daemon.peers import meter
from anvilwell_daemon.peers import registry
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import peers as messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

PATH = "/control"
DIAL_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 2.0
IDLE_S = 30.0
MAX_LINKS = 256

_LOG = logs.get_logger(__name__)


class Peers(services.Service):
    """Dials peers on demand and keeps a bounded number of links.

    A link serves both ways, so two daemons need one. Addresses come
    from ``learn`` (membership calls it) and from peers' own hellos.

    Parameters
    ----------
    vm_id : str
        This daemon's name; ids are unique per start of a VM.
    listener : listener.Listener
        Where peers dial in; also gives the address told to them.
    max_links : int
        Links kept; the idlest is closed for a new one.
    idle_s : float
        A link unused for so long is closed.
    """

    name = "peers"
    needs = ("listener",)

    def __init__(
        self,
        vm_id,
        listener,
        *,
        clock=None,
        max_links=MAX_LINKS,
        idle_s=IDLE_S,
    ):
        self.vm_id = vm_id
        self.registry = registry.Registry()
        self._listener = listener
        self._clock = clock or clocks.SystemClock()
        self._max_links = max_links
        self._idle_s = idle_s
        self._addresses_by_id = {}
        self._links_by_id = {}
        self._links = set()
        self._dials_by_target = {}
        self._tasks = set()
        listener.mount(PATH, self._accept)

    @classmethod
    def from_config(cls, settings, listener):
        """Return the service for the daemon with `settings`."""
        return cls(settings.daemon.vm_id, listener)

    @property
    def linked(self):
        """The ids of the peers with an open link."""
        return frozenset(self._links_by_id)

    def on(self, kind, handler):
        """Serve messages of class `kind`.

        ``await handler(vm_id, message)`` returns the answer or None; an
        ``AnvilwellError`` that it raises reaches the requester.
        """
        self.registry.on(kind, handler)

    def declare(self, kinds):
        """Let `kinds` travel: those that are only answers."""
        self.registry.declare(kinds)

    def learn(self, vm_id, address):
        """Remember that `vm_id` listens at `address` (``host:port``)."""
        known = self._addresses_by_id.get(vm_id)
        self._addresses_by_id[vm_id] = address
        if known not in (None, address):
            self.drop(vm_id)

    def forget(self, vm_id):
        """Drop the address of `vm_id` and its link."""
        self._addresses_by_id.pop(vm_id, None)
        self.drop(vm_id)

    def drop(self, vm_id):
        """Drop the link to `vm_id` if there is one; the next send dials."""
        link = self._links_by_id.pop(vm_id, None)
        if link:
            link.abort()

    async def send(self, vm_id, message, *, timeout_s=REQUEST_TIMEOUT_S):
        """Send `message` without waiting for an answer.

        Raises
        ------
        exceptions.Refused
            Reason ``CONNECT_FAILED``: it was never sent.
        exceptions.LinkLost
            It may have arrived.
        exceptions.Timeout
            It may have arrived.
        """
        async with _deadline(vm_id, timeout_s):
            link = await self._link(vm_id)
            await link.send(message)

    async def request(self, vm_id, message, timeout_s=REQUEST_TIMEOUT_S):
        """Send `message` and return its answer.

        Raises
        ------
        exceptions.AnvilwellError
            What the peer's handler raised, with its verdict and reason;
            otherwise as ``send``.
        """
        async with _deadline(vm_id, timeout_s):
            link = await self._link(vm_id)
            return await link.request(message)

    async def meet(self, address, timeout_s=REQUEST_TIMEOUT_S):
        """Return the id of whichever daemon listens at `address`."""
        async with _deadline(address, timeout_s):
            link = await self._dial(address, "")
            return link.peer.vm_id

    async def request_at(self, address, message, timeout_s=REQUEST_TIMEOUT_S):
        """Ask whichever daemon listens at `address`; see ``request``."""
        async with _deadline(address, timeout_s):
            link = await self._dial(address, "")
            return await link.request(message)

    async def start(self, kernel):
        """Begin to close idle links."""
        self._spawn(self._close_idle())

    async def stop(self):
        """Close every link."""
        for task in list(self._tasks):
            task.cancel()
        for link in list(self._links):
            link.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _link(self, vm_id):
        link = self._links_by_id.get(vm_id)
        if link:
            return link
        address = self._addresses_by_id.get(vm_id)
        if address is None:
            raise _unreachable(f"no address is known for {vm_id}")
        return await self._dial(address, vm_id)

    async def _dial(self, address, wanted):
        target = (address, wanted)
        dial = self._dials_by_target.get(target)
        if dial is None:
            dial = self._spawn(self._open(address, wanted))
            self._dials_by_target[target] = dial
            dial.add_done_callback(functools.partial(self._end_dial, target))
        return await asyncio.shield(dial)

    def _end_dial(self, target, dial):
        self._dials_by_target.pop(target, None)
        if not dial.cancelled():
            dial.exception()  # its waiters may have given up

    async def _open(self, address, wanted):
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                connection = await self._connect(address)
                peer = await self._greet(connection, wanted)
        except (
            OSError,
            TimeoutError,
            websockets.WebSocketException,
            exceptions.MalformedMessage,
        ) as error:
            meter.count_dial("failed")
            raise _unreachable(
                f"cannot reach {wanted or 'a daemon'} at {address}: {error!r}"
            ) from error
        if wanted and peer.vm_id != wanted:
            meter.count_dial("other-daemon")
            connection.transport.abort()
            raise _unreachable(f"{address} is {peer.vm_id}, not {wanted}")
        meter.count_dial("opened")
        link = self._keep(connection, peer)
        self._spawn(self._run(link))
        return link

    async def _connect(self, address):
        return await client.connect(
            f"ws://{address}{PATH}",
            compression=None,
            proxy=None,
            user_agent_header=None,
            max_size=codec.MAX_FRAME_BYTES,
            open_timeout=DIAL_TIMEOUT_S,
            close_timeout=DIAL_TIMEOUT_S,
        )

    async def _greet(self, connection, wanted):
        hello = messages.Hello(self.vm_id, self._listener.address, wanted)
        await connection.send(self.registry.codec.encode(hello))
        peer = self.registry.codec.decode(await connection.recv())
        if not isinstance(peer, messages.Hello):
            raise exceptions.MalformedMessage("the first frame is no hello")
        self._addresses_by_id[peer.vm_id] = peer.address
        return peer

    async def _accept(self, connection):
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                peer = await self._greet(connection, "")
        except (
            TimeoutError,
            websockets.ConnectionClosed,
            exceptions.MalformedMessage,
        ) as error:
            _LOG.log("no-hello", error=repr(error))
            return
        if peer.wanted in ("", self.vm_id):
            await self._run(self._keep(connection, peer))

    def _keep(self, connection, peer):
        link = links.Link(connection, peer, self.registry, self._clock)
        self._links_by_id[peer.vm_id] = link
        self._links.add(link)
        self._make_room()
        return link

    def _make_room(self):
        excess = len(self._links) - self._max_links
        idlest = sorted(
            (link for link in self._links if not link.is_busy),
            key=lambda link: link.used_at,
        )
        for link in idlest[: max(excess, 0)]:
            self._retire(link)

    def _retire(self, link):
        self._release(link)
        self._spawn(link.close())

    def _release(self, link):
        self._links.discard(link)
        if self._links_by_id.get(link.peer.vm_id) is link:
            del self._links_by_id[link.peer.vm_id]

    async def _run(self, link):
        try:
            await link.run()
        finally:
            self._release(link)

    async def _close_idle(self):
        while True:
            await asyncio.sleep(self._idle_s / 2)
            oldest = self._clock.monotonic() - self._idle_s
            for link in list(self._links):
                if link.used_at < oldest and not link.is_busy:
                    self._retire(link)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


@contextlib.asynccontextmanager
async def _deadline(target, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except TimeoutError as error:
        raise exceptions.Timeout(
            f"no answer from {target} within {timeout_s} s"
        ) from error


def _unreachable(message):
    return exceptions.Refused(
        message,
        reason=reasons.Refusal.CONNECT_FAILED,
        verdict=verdicts.Verdict.NOT_RUN,
    )
