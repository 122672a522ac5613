"""Forwards reads and ends of batches to the entries that own them.

The owner has the results in memory and lists each new one first; an entry
that does not own the batch would otherwise read the store at each poll.
Traffic between failure domains is expensive. An owner in another domain
therefore sends only the number of results unless they are small, and the
reader fetches them from the store if there are new ones.

An owner also receives the end of a batch from the store. That may take
seconds if its watch has failed, and items would be sent to engines until then.
"""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/results"
END_TARGET = "/batches/ended"
# How much longer than the requested wait an owner's response may take, in
# seconds. After that the results are read from the store, which has all that
# the owner has listed.
RESPONSE_MARGIN_S = 0.4
MAX_RESPONSE_BYTES = 2 << 20

_LOG = logs.get_logger(__name__)


class ResultsRequest(typing.NamedTuple):
    """A request for a batch's results from position ``after`` on.

    ``wait_s`` is how long the owner may wait for a new result. If
    ``with_results`` is false, it sends results only if they are small.
    """

    batch_id: str
    after: int
    wait_s: float
    with_results: bool = True


class ResultsPage(typing.NamedTuple):
    """Results of a batch in the order of their positions.

    ``listed`` is the number of results that exist so far, of ``total`` in
    the end. ``results`` holds some of them from the requested position on,
    or None if only the number was sent.
    """

    total: int
    listed: int
    results: tuple[facts.Result, ...] | None


_RESULTS_REQUEST = pydantic.TypeAdapter(ResultsRequest)
_RESULTS_PAGE = pydantic.TypeAdapter(ResultsPage)
_BATCH_ID = pydantic.TypeAdapter(str)


def read_results_request(body):
    """Decode the `ResultsRequest` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it cannot be decoded.
    """
    return peer_calls.decode(_RESULTS_REQUEST, body, "request for results")


def read_end(body):
    """Decode the id of an ended batch in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it cannot be decoded.
    """
    return peer_calls.decode(_BATCH_ID, body, "id of a batch")


class OwnerClient:
    """Reads results from the owners of batches and notifies them of ends.

    Parameters
    ----------
    owners : owners.Owners
        The owners of all batches.
    cluster_state : cluster_state.ClusterState
        Which entries are live, and their addresses.
    vm_id : str
        This VM. No requests are sent to it.
    failure_domain : str
        The failure domain of this VM.
    """

    def __init__(self, owners, cluster_state, vm_id, failure_domain):
        self._owners = owners
        self._vm_id = vm_id
        self._failure_domain = failure_domain
        self._cluster_state = cluster_state
        self._pool = connection_pool.Pool(
            asyncio.get_running_loop().time, True
        )

    async def read(self, results_request):
        """Return the owner's `ResultsPage`, or None if it sends none."""
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
        """Notify the live owner of a batch, if any, that the batch ended."""
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
        """Send a request to a VM and return the body of its response."""
        return await peer_calls.call(
            self._pool,
            vm_id,
            self._cluster_state.addresses_by_vm[vm_id],
            target,
            content,
            peer_calls.CallLimits(timeout_s, MAX_RESPONSE_BYTES),
        )

    def _live_remote_owner(self, batch_id):
        """Return the owner of a batch if it is another live VM, else None."""
        claim = self._owners.claims_by_id.get(batch_id)
        if claim is None or claim.owner.vm_id == self._vm_id:
            return None
        vm_id, incarnation = claim.owner.vm_id, claim.owner.incarnation
        return (
            vm_id
            if self._cluster_state.incarnations_by_vm.get(vm_id) == incarnation
            else None
        )

    def close(self):
        """Close the connections."""
        self._pool.close()
