"""Asks which entry may try a request that has ended replicas.

One entry, chosen by the request's fingerprint, knows the trial under way;
the others ask it, a message before and one after. Where it can't be asked,
the request waits: its pause grows by what its lease or a cut link takes.
"""

import asyncio
import contextlib
import itertools
import typing

import pydantic

from anvilwell_decisions.duties import choice
from anvilwell_decisions.requests import trials
from anvilwell_gateway import bodies
from anvilwell_gateway.http import client
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/trials"
# An entry answers within milliseconds, and the caller's time runs.
TIMEOUT_S = 0.2
MAX_ANSWER_BYTES = 4 << 10


class Question(typing.NamedTuple):
    """That `trier` wants to try a request, or is done with it.

    ``replica_ids`` are all that it knows to have ended under the request.
    """

    fingerprint: str
    trier: str
    is_over: bool
    replica_ids: tuple[str, ...]


_QUESTION = pydantic.TypeAdapter(Question)
_WAIT_S = pydantic.TypeAdapter(float)

_LOG = logs.get_logger(__name__)


def read(body):
    """Return the `Question` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return bodies.read(_QUESTION, body, "trial")


class Trials:
    """Asks for trials, and grants them where this entry decides.

    Parameters
    ----------
    vm_id : str
        This VM.
    news : news.News
        The entries that live, and where.
    quarantine : quarantine.Quarantine
        What has ended under which request.
    """

    def __init__(self, vm_id, news, quarantine):
        self._vm_id = vm_id
        self._news = news
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._pool = client.Pool(self._loop.time, True)
        self._trials = trials.Trials()
        self._numbers = itertools.count(1)
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def tried(self, fingerprint):
        """Give how long a request must wait, 0 if it may be tried now."""
        trier = f"{self._vm_id}/{next(self._numbers)}"
        wait_s = await self._ask(fingerprint, trier, is_over=False)
        try:
            yield wait_s
        finally:
            if not wait_s:
                over = self._ask(fingerprint, trier, is_over=True)
                task = asyncio.create_task(over)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _ask(self, fingerprint, trier, is_over):
        """Return how long to wait, in seconds."""
        replica_ids = self._quarantine.replica_ids(fingerprint)
        question = Question(
            fingerprint, trier, is_over, tuple(sorted(replica_ids))
        )
        addresses_by_vm = self._news.addresses_by_vm
        decider = choice.chosen(f"try {fingerprint}", list(addresses_by_vm))
        if decider in (None, self._vm_id):
            return self.decide(question)
        address = addresses_by_vm[decider]
        try:
            reply, body = await self._pool.ask(
                decider,
                address,
                bodies.question(TARGET, address, question),
                TIMEOUT_S,
                MAX_ANSWER_BYTES,
            )
            if reply.status != 200:
                raise client.failed(f"status {reply.status}")
            return bodies.read(_WAIT_S, body, "wait")
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "trial-not-asked",
                entry=decider,
                fingerprint=fingerprint,
                cause=error.message,
            )
            return trials.RETRY_S

    def decide(self, question):
        """Return how long the `Question`'s request must wait, in seconds."""
        now = self._loop.time()
        fingerprint = question.fingerprint
        self._quarantine.learn(fingerprint, question.replica_ids, now)
        if question.is_over:
            self._trials.end(fingerprint, question.trier)
            return 0.0
        wait_s = self._quarantine.wait_s(fingerprint, now)
        return wait_s or self._trials.begin(fingerprint, question.trier, now)

    async def stop(self):
        """Tell nobody more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()
