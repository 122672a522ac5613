"""Passes reads of results, and ends, on to the entry that owns a batch.

The owner has results in memory and sees each new one first. An entry that
does not own the batch would read the store at each question. Of many bytes
an owner in another failure domain only says how many results there are, and
the store is read when there are more: bytes between domains are dear.

An owner learns of an end from the store as well, but that may take seconds
if its watch has failed, and items would go on to engines until then.
"""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.http import client
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/results"
END_TARGET = "/batches/ended"
# What an answer takes beyond the wait that was asked for, in seconds. An
# owner that needs longer is passed by: the store has what it listed.
RESPONSE_MARGIN_S = 0.4
MAX_RESPONSE_BYTES = 2 << 20

_LOG = logs.get_logger(__name__)


class ResultsRequest(typing.NamedTuple):
    """What is asked for: results of a batch from a position on."""

    batch_id: str
    after: int
    wait_s: float
    with_results: bool = True


class ResultsPage(typing.NamedTuple):
    """Results in the order of their positions.

    ``listed`` of ``total`` positions are there; ``results`` are some from
    the one on that was asked for, None if they were not asked for.
    """

    total: int
    listed: int
    results: tuple[facts.Result, ...] | None


_RESULTS_REQUEST = pydantic.TypeAdapter(ResultsRequest)
_RESULTS_PAGE = pydantic.TypeAdapter(ResultsPage)
_BATCH_ID = pydantic.TypeAdapter(str)


def read_results_request(body):
    """Return the `Question` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_RESULTS_REQUEST, body, "question for results")


def read_end(body):
    """Return the id of the batch that a request's body says has ended.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_BATCH_ID, body, "id of a batch")


class OwnerClient:
    """Asks owners of batches for results, and tells them of ends.

    Parameters
    ----------
    owners : owners.Owners
        Who owns which batch.
    cluster_state : cluster_state.ClusterState
        Which of them live, and where.
    vm_id : str
        This VM; it is not asked what it does not run itself.
    failure_domain : str
        Where it is.
    """

    def __init__(self, owners, cluster_state, vm_id, failure_domain):
        self._owners = owners
        self._vm_id = vm_id
        self._failure_domain = failure_domain
        self._cluster_state = cluster_state
        self._pool = client.Pool(asyncio.get_running_loop().time, True)

    async def read(self, results_request):
        """Return the owner's `Page`, or None if it gives none."""
        vm_id = self._live_remote_owner(results_request.batch_id)
        if vm_id is None:
            return None
        is_same_domain = (
            self._cluster_state.domains_by_vm[vm_id] == self._failure_domain
        )
        results_request = results_request._replace(with_results=is_same_domain)
        try:
            body = await self._send(
                vm_id,
                TARGET,
                results_request,
                results_request.wait_s + RESPONSE_MARGIN_S,
            )
            return _RESULTS_PAGE.validate_python(cbor2.loads(body))
        except (
            exceptions.BackendFailed,
            cbor2.CBORError,
            ValueError,
        ) as error:
            _LOG.log(
                "owner-not-asked",
                batch_id=results_request.batch_id,
                owner=vm_id,
                cause=repr(error),
            )
        return None

    async def end(self, batch_id):
        """Tell the owner of a batch, if it lives, that the batch ended."""
        vm_id = self._live_remote_owner(batch_id)
        if vm_id is None:
            return
        try:
            await self._send(vm_id, END_TARGET, batch_id, RESPONSE_MARGIN_S)
        except exceptions.BackendFailed as error:
            _LOG.log(
                "owner-not-told",
                batch_id=batch_id,
                owner=vm_id,
                cause=error.message,
            )

    async def _send(self, vm_id, target, content, timeout_s):
        """Return the body of a VM's answer."""
        return await peer_calls.call(
            self._pool,
            vm_id,
            self._cluster_state.addresses_by_vm[vm_id],
            target,
            content,
            peer_calls.CallLimits(timeout_s, MAX_RESPONSE_BYTES),
        )

    def _live_remote_owner(self, batch_id):
        """Return another VM that owns a batch and lives, or None."""
        claim = self._owners.claims_by_id.get(batch_id)
        if claim is None or claim.owner.vm_id == self._vm_id:
            return None
        vm_id, life = claim.owner.vm_id, claim.owner.incarnation
        return (
            vm_id
            if self._cluster_state.incarnations_by_vm.get(vm_id) == life
            else None
        )

    def close(self):
        """Close the connections."""
        self._pool.close()
