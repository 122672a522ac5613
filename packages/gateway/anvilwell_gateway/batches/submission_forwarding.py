"""Forwards submissions to the home entry of their service and model."""

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
# How long to wait for the home's response, in seconds: many times what it
# usually takes. After the timeout, this entry can still accept the batch
# within the trainer's target of half a second.
TIMEOUT_S = 0.4
MAX_RESPONSE_BYTES = 64 << 10
_ACCEPTED = 202
_REFUSED = 503

_LOG = logs.get_logger(__name__)


class ForwardOutcome(enum.StrEnum):
    """The outcome of forwarding a submission."""

    ACCEPTED = "accepted"
    # The other entry has not accepted it and never will, or it was not sent.
    NOT = "not"
    UNKNOWN = "unknown"


class ForwardedSubmission(typing.NamedTuple):
    """A submission as received, without the caller's API key."""

    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str = ""


_FORWARDED_SUBMISSION = pydantic.TypeAdapter(ForwardedSubmission)


def read_request(body):
    """Decode the forwarded `messages.Request`.

    Raises
    ------
    exceptions.BadRequest
        If it cannot be decoded.
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
    """Forwards submissions to their homes.

    Parameters
    ----------
    vm_id : str
        This VM.
    cluster_state : cluster_state.ClusterState
        The live entries and their addresses.
    homes : all_homes.Homes
        The homes of each service.
    """

    def __init__(self, vm_id, cluster_state, homes):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._homes = homes
        self._pool = client.Pool(asyncio.get_running_loop().time, True)

    async def forward(self, route, model, request):
        """Forward `request` if the home of the batch is another entry.

        Returns
        -------
        ForwardOutcome
            Whether the home accepted it.
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
        peer_request = peer_calls.build_request(TARGET, address, submission)
        try:
            reply, _ = await self._pool.call(
                home, address, peer_request, TIMEOUT_S, MAX_RESPONSE_BYTES
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
    # A 503 guarantees that the batch was not accepted. After a 4xx this entry
    # finds the same fault in the submission and responds with it.
    if status == _REFUSED or 400 <= status < 500:
        return ForwardOutcome.NOT
    return ForwardOutcome.UNKNOWN
