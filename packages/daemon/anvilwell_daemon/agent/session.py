"""The agent's end of one link from an entry."""

from anvilwell_daemon.agent import flusher as flushers
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import requests
from anvilwell_kernel.telemetry import logs

MIN_FLUSH_S = 0.005
MAX_FLUSH_S = 1.0
MAX_FLUSHERS = 16

_LOG = logs.get_logger(__name__)


class Session:
    """Holds the executions that came by one link.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that owns the connection.
    connection : connection.Connection
        The established link.
    peer : links.Hello
        The entry at the other end.
    agent : service.Agent
        Takes new requests and cancellations.
    """

    def __init__(self, loop, connection, peer, agent):
        self.peer = peer
        self._connection = connection
        self._agent = agent
        self._loop = loop
        self._flushers_by_interval = {}
        self._executions_by_stream = {}
        self.is_open = True
        self._last_load = None

    def send_load(self, load):
        """Send an `AgentLoad` unless it was the last one sent."""
        if load != self._last_load:
            self._last_load = load
            self.send(load)

    def send(self, message):
        """Send `message` unless the link is gone."""
        if self.is_open:
            self._connection.send(message)

    @property
    def in_flight(self):
        """Requests that came by this link and are not over."""
        return len(self._executions_by_stream)

    def flusher(self, flush_s):
        """Return the flusher for streams with that `flush_s`."""
        interval_s = min(MAX_FLUSH_S, max(MIN_FLUSH_S, flush_s))
        found = self._flushers_by_interval.get(interval_s)
        if found is None:
            if len(self._flushers_by_interval) >= MAX_FLUSHERS:
                return next(iter(self._flushers_by_interval.values()))
            found = flushers.Flusher(self._loop, self._connection, interval_s)
            self._flushers_by_interval[interval_s] = found
        return found

    def forget(self, execution):
        """Note that `execution` is over."""
        self._executions_by_stream.pop(execution.start.stream_id, None)

    async def run(self):
        """Serve the link until it ends; then give up what it carried."""
        try:
            await self._connection.run(self._receive)
        finally:
            self.is_open = False
            for execution in list(self._executions_by_stream.values()):
                self._agent.give_up(execution)

    async def close(self):
        """Send what waits, then close the link."""
        await self._connection.flush()
        await self._connection.close()

    def _receive(self, message):
        kind = type(message)
        if kind is requests.RequestStart:
            self._open(message)
        elif kind is requests.Credit:
            self._add_credit(message)
        elif kind is requests.RequestCancel:
            self._cancel(message)
        else:
            raise exceptions.MalformedMessage(f"{kind.__name__} from an entry")

    def _open(self, start):
        if start.stream_id in self._executions_by_stream:
            raise exceptions.MalformedMessage(
                f"stream {start.stream_id} is already open"
            )
        execution = self._agent.execution(start, self)
        self._executions_by_stream[start.stream_id] = execution
        self._agent.offer(execution)

    def _add_credit(self, message):
        execution = self._executions_by_stream.get(message.stream_id)
        if execution:
            execution.outflow.add_credit(message.frames)
            execution.flusher.flush(execution.outflow)

    def _cancel(self, message):
        execution = self._executions_by_stream.get(message.stream_id)
        if execution:
            self._agent.give_up(execution)
