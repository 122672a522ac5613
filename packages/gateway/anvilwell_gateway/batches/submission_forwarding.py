"""Hands a submission on to the entry where such batches are gathered."""

import asyncio
import enum
import typing

import pydantic

from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

TARGET = "/batches"
# An entry answers within 20 ms where the store does in 4 ms. One that takes
# longer is passed by while the trainer's target, half a second, can be met.
TIMEOUT_S = 0.4
MAX_RESPONSE_BYTES = 64 << 10
_ACCEPTED = 202
_REFUSED = 503

_LOG = logs.get_logger(__name__)


class ForwardOutcome(enum.StrEnum):
    """What became of a submission that was handed on."""

    ACCEPTED = "accepted"
    # It is not there and never will be, or nobody was asked.
    NOT = "not"
    UNKNOWN = "unknown"


class ForwardedSubmission(typing.NamedTuple):
    """A submission as it came, without the caller's key."""

    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str = ""


_FORWARDED_SUBMISSION = pydantic.TypeAdapter(ForwardedSubmission)


def read_request(body):
    """Return the `messages.Request` that was handed on.

    Raises
    ------
    exceptions.BadRequest
        If there is none.
    """
    submission = peer_calls.decode(_FORWARDED_SUBMISSION, body, "submission")
    now = asyncio.get_running_loop().time()
    return messages.Request(
        "POST",
        submission.target,
        submission.headers,
        submission.body,
        now,
        organisation=submission.organisation,
    )


class SubmissionForwarder:
    """Hands submissions on.

    Parameters
    ----------
    vm_id : str
        This VM.
    cluster_state : cluster_state.ClusterState
        The entries that live, and where.
    homes : all_homes.Homes
        Which of them run what.
    """

    def __init__(self, vm_id, cluster_state, homes):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._homes = homes
        self._pool = client.Pool(asyncio.get_running_loop().time, True)

    async def forward(self, route, model, request):
        """Hand `request` on, if another entry is to run the model's batch.

        Returns
        -------
        Handed
            What became of it.
        """
        home = self._homes.find(all_homes.gathering_key(route), model)
        if home in (None, self._vm_id):
            return ForwardOutcome.NOT
        address = self._cluster_state.addresses_by_vm[home]
        submission = ForwardedSubmission(
            request.target,
            request.headers,
            request.body,
            request.organisation,
        )
        question = peer_calls.build_request(TARGET, address, submission)
        try:
            reply, _ = await self._pool.call(
                home, address, question, TIMEOUT_S, MAX_RESPONSE_BYTES
            )
        except exceptions.BackendFailed as error:
            not_run = error.verdict is verdicts.Verdict.NOT_RUN
            outcome = ForwardOutcome.NOT if not_run else ForwardOutcome.UNKNOWN
            cause = error.message
        else:
            outcome = _classify(reply.status)
            cause = f"status {reply.status}"
        if outcome is not ForwardOutcome.ACCEPTED:
            _LOG.log("batch-not-handed", home=home, end=outcome, cause=cause)
        return outcome

    def close(self):
        """Close the connections."""
        self._pool.close()


def _classify(status):
    if status == _ACCEPTED:
        return ForwardOutcome.ACCEPTED
    # A refusal is a promise; a fault of the submission itself is found
    # again here.
    if status == _REFUSED or 400 <= status < 500:
        return ForwardOutcome.NOT
    return ForwardOutcome.UNKNOWN
