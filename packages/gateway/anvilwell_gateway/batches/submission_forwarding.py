"""Forwards submissions to the home entry of their service and model."""

import asyncio
import base64
import binascii
import enum
import typing

import cbor2
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
# Each so many bytes of a submission may take the home one second more.
BYTES_PER_S = 8e6
MAX_RESPONSE_BYTES = 64 << 10
# Largest number of entries that a batch is forwarded to, one after another, if
# this entry may not accept it. Two may be lost at once.
MAX_TARGETS = 3
# The header with everything of a submission but its body.
_HEAD_HEADER = "Submission-Head"
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
    """The head of a submission as received, without the caller's API key.

    Its body is that of the request in which it is forwarded, so that neither
    side holds a second copy of it.
    """

    target: str
    headers: tuple[tuple[str, str], ...]
    organisation: str = ""


_FORWARDED_SUBMISSION = pydantic.TypeAdapter(ForwardedSubmission)


def read_request(peer_request):
    """Decode the `messages.Request` that another entry has forwarded.

    Raises
    ------
    exceptions.BadRequest
        If it cannot be decoded.
    """
    encoded = messages.find(peer_request.headers, _HEAD_HEADER)
    try:
        head = base64.b64decode(encoded, validate=True)
    except binascii.Error as error:
        raise exceptions.BadRequest("the head is not base64") from error
    submission = peer_calls.decode(
        _FORWARDED_SUBMISSION, head, "head of a submission"
    )
    now = asyncio.get_running_loop().time()
    return messages.Request(
        "POST",
        submission.target,
        submission.headers,
        peer_request.body,
        now,
        organisation=submission.organisation,
    )


def _peer_request(request, address):
    """Return the `messages.Request` that forwards `request` to a peer."""
    submission = ForwardedSubmission(
        request.target, request.headers, request.organisation
    )
    encoded = base64.b64encode(cbor2.dumps(submission)).decode()
    return messages.Request(
        "POST",
        TARGET,
        (("Host", str(address)), (_HEAD_HEADER, encoded)),
        request.body,
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
        timeout_s = TIMEOUT_S + len(request.body) / BYTES_PER_S
        try:
            reply, _ = await self._pool.call(
                home,
                address,
                _peer_request(request, address),
                timeout_s,
                MAX_RESPONSE_BYTES,
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
