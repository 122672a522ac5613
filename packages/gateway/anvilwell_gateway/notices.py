"""What agents tell entries directly: what their engines load and have.

An entry learns a new version from the registrations within two seconds,
and that an engine loads, only from its refusals: these were a third to a
half of all items sent. Notices take a millisecond, and cost no call to
the key-value service.
"""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import bodies
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/engine"
# An entry answers within milliseconds; one that does not is not there.
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 64 << 10

# No answer, or none that can be read.
_UNANSWERED = (exceptions.BackendFailed, cbor2.CBORError, ValueError)

_LOG = logs.get_logger(__name__)


class Notice(typing.NamedTuple):
    """An engine's versions, and the models that it loads just now.

    Engines do not tell agents under which id they are registered, so the
    ``address`` names the engine, as ``ip:port``; ``started_ms`` says which
    of its lives, as the Unix millisecond of its start, 0 if unknown.
    """

    address: str
    versions: tuple[facts.ModelVersion, ...]
    loading: tuple[str, ...] = ()
    started_ms: int = 0


_NOTICE = pydantic.TypeAdapter(Notice)
_NEEDS = pydantic.TypeAdapter(dict[str, int])


def read(body):
    """Return the `Notice` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return bodies.read(_NOTICE, body, "notice")


def write_needs(needs_by_model):
    """Return the answer to a notice."""
    return cbor2.dumps(needs_by_model)


class Teller:
    """Sends notices to all entries that are known."""

    def __init__(self):
        self._pool = client.Pool(asyncio.get_running_loop().time, True)
        self._addresses_by_vm = {}

    def set_entries(self, addresses_by_vm):
        """Take in where the entries are."""
        self._addresses_by_vm = addresses_by_vm

    async def tell(self, notice):
        """Tell all entries; return what their newest batches need.

        Returns
        -------
        dict
            The oldest version that the newest batch of a model may be
            made under, by model; of the entries that answered.
        """
        body = cbor2.dumps(notice)
        answers = await asyncio.gather(
            *(
                self._tell(vm_id, address, body)
                for vm_id, address in self._addresses_by_vm.items()
            )
        )
        needs_by_model = {}
        for answer in answers:
            for model, version in answer.items():
                known = needs_by_model.get(model, 0)
                needs_by_model[model] = max(known, version)
        return needs_by_model

    async def _tell(self, vm_id, address, body):
        question = messages.Request(
            "POST", TARGET, (("Host", str(address)),), body
        )
        try:
            reply, answer = await self._pool.ask(
                vm_id, address, question, TIMEOUT_S, MAX_ANSWER_BYTES
            )
            if reply.status == 200:
                return _NEEDS.validate_python(cbor2.loads(answer))
            cause = f"status {reply.status}"
        except _UNANSWERED as error:
            cause = repr(error)
        _LOG.routine("entry-not-told", entry=vm_id, cause=cause)
        return {}

    def close(self):
        """Close the connections."""
        self._pool.close()
