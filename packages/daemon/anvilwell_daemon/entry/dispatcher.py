"""The service ``dispatcher``: carries calls to replicas."""

import asyncio
import random
import typing

from anvilwell_daemon.entry import attempt as attempts
from anvilwell_daemon.entry import budgets
from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import pace
from anvilwell_daemon.entry import relay as relays
from anvilwell_daemon.links import mailbox as mailboxes
from anvilwell_decisions.requests import facts
from anvilwell_kernel import services


class Tools(typing.NamedTuple):
    """What a relay works with."""

    replicas: typing.Any
    opener: attempts.Opener
    retries: typing.Callable
    clock: typing.Any
    traces: typing.Any
    load: pace.OpenStreams


class Answer:
    """An answer as a blocking iterator of `calls.Piece`.

    Iterating raises an ``AnvilwellError`` if the answer is cut: only a
    normal end means that it is whole. ``close`` gives it up.
    """

    def __init__(self, relay):
        self._relay = relay
        self._steps = relay.steps()
        head = self._advance()
        self.status = head.status
        self.headers = head.headers

    @property
    def finish(self):
        """Why a model's stream ended, once it has."""
        return self._relay.finish

    @property
    def replica_id(self):
        """The replica of the last attempt."""
        return self._relay.replica_id

    def __iter__(self):
        return self

    def __next__(self):
        step = self._advance()
        if step is None:
            raise StopIteration
        return step

    def close(self):
        """Cancel what is under way."""
        self._steps.close()

    def _advance(self):
        step = _next_step(self._steps, None)
        while type(step) is calls.Wait:
            event = step.mailbox.get(step.timeout_s)
            step = _next_step(self._steps, event)
        return step


class AsyncAnswer:
    """The twin of `Answer` for code on the event loop."""

    def __init__(self, relay):
        self._relay = relay
        self._steps = relay.steps()
        self.status = None
        self.headers = None

    @property
    def finish(self):
        """Why a model's stream ended, once it has."""
        return self._relay.finish

    @property
    def replica_id(self):
        """The replica of the last attempt."""
        return self._relay.replica_id

    async def open(self):
        """Wait for the head; return self."""
        head = await self._advance()
        self.status = head.status
        self.headers = head.headers
        return self

    def __aiter__(self):
        return self

    async def __anext__(self):
        step = await self._advance()
        if step is None:
            raise StopAsyncIteration
        return step

    def close(self):
        """Cancel what is under way."""
        self._steps.close()

    async def _advance(self):
        step = _next_step(self._steps, None)
        try:
            while type(step) is calls.Wait:
                event = await step.mailbox.get(step.timeout_s)
                step = _next_step(self._steps, event)
        except asyncio.CancelledError:
            # A reader that is gone must not hold the agent's buffers.
            self._steps.close()
            raise
        return step


class Dispatcher(services.Service):
    """Opens calls on replicas, with routing and retries.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    source : random.Random
        Source of the retries' jitter.
    """

    name = "dispatcher"
    needs = ("replicas", "traces")

    def __init__(self, clock, source=None):
        self._clock = clock
        self._random = source or random.Random()
        self._budgets = budgets.Budgets(self._random)
        self._tools = None

    async def start(self, kernel):
        """Find the services it works with."""
        if kernel.has("configuration"):
            self._budgets.follow(kernel.get("configuration"))
        self._tools = Tools(
            kernel.get("replicas"),
            attempts.Opener(),
            self._budgets.of_service,
            self._clock,
            kernel.get("traces"),
            pace.OpenStreams(),
        )

    def open(self, call):
        """Return the `Answer` to `call`, once its head came.

        Blocks; for handler threads only.

        Raises
        ------
        exceptions.AnvilwellError
            With the verdict over all attempts.
        """
        self._begin(call)
        relay = relays.Relay(call, self._tools, mailboxes.ThreadMailbox)
        return Answer(relay)

    def attempt(self, replica_id, call):
        """Return the `Answer` of one attempt on one replica; blocks."""
        relay = relays.Relay(
            call, self._tools, mailboxes.ThreadMailbox, replica_id
        )
        return Answer(relay)

    async def open_async(self, call):
        """Return the `AsyncAnswer` to `call`; on the event loop."""
        self._begin(call)
        relay = relays.Relay(call, self._tools, mailboxes.LoopMailbox)
        return await AsyncAnswer(relay).open()

    async def attempt_async(self, replica_id, call):
        """Return the `AsyncAnswer` of one attempt on one replica."""
        relay = relays.Relay(
            call, self._tools, mailboxes.LoopMailbox, replica_id
        )
        return await AsyncAnswer(relay).open()

    def _begin(self, call):
        priority = facts.Priority(call.priority)
        self._budgets.of_service(call.service).first_attempt(priority)


def _next_step(steps, event):
    """Send `event` in; return the next step, None at the end."""
    try:
        return steps.send(event)
    except StopIteration:
        return None
