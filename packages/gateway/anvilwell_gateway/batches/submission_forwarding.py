"""Forwards submissions to the home entry of their service and model."""

import asyncio
import enum
import typing

import pydantic

from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.http import connection_pool
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
# Largest number of entries that a batch is forwarded to, one after another, if
# this entry may not accept it. Two may be lost at once.
MAX_TARGETS = 3
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
    residency : residency.ResidencyRules
        The allowed regions in force.
    """

    def __init__(self, vm_id, cluster_state, homes, residency):
        self._residency = residency
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._homes = homes
        self._pool = connection_pool.Pool(
            asyncio.get_running_loop().time, True
        )

    async def forward(self, route, model, request):
        """Forward `request` if the home of the batch is another entry.

        Returns
        -------
        ForwardOutcome
            Whether the home accepted it.
        """
        outcomes = [ForwardOutcome.NOT]
        for vm_id in self._targets(route, model, request):
            outcomes.append(await self._send(vm_id, request))
            if outcomes[-1] is ForwardOutcome.ACCEPTED:
                return ForwardOutcome.ACCEPTED
        is_unknown = ForwardOutcome.UNKNOWN in outcomes
        return ForwardOutcome.UNKNOWN if is_unknown else ForwardOutcome.NOT

    def _targets(self, route, model, request):
        """Return the VMs to forward a batch to, one after another.

        If this VM may not own the batch, others than its home are tried too.
        """
        service = all_homes.gathering_key(route)
        bounds = self._residency.of_request(route, request.organisation)
        if bounds is None:
            homes = [self._homes.find(service, model)]
        else:
            count = 1 if bounds.may_own else MAX_TARGETS
            homes = self._homes.ranked(service, model, bounds)[:count]
        return [home for home in homes if home not in (None, self._vm_id)]

    async def _send(self, home, request):
        """Forward `request` to one entry; return the `ForwardOutcome`."""
        address = self._cluster_state.addresses_by_vm.get(home)
        if address is None:
            # It was lost while another entry was tried.
            return ForwardOutcome.NOT
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
