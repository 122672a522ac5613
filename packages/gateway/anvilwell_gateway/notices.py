"""Notices that agents send to entries about their engine's models.

Without notices, an entry receives a new version from the registrations only
after up to two seconds, and detects that an engine is loading only when the
engine refuses requests. A notice takes a millisecond and costs no call to the
key-value service. Notices go to the entries that run batches; see
``anvilwell_decisions.duties.notice_recipients``.
"""

import asyncio
import typing

import cbor2
import pydantic
import xxhash

from anvilwell_decisions.duties import notice_recipients
from anvilwell_decisions.traffic import facts
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import messages
from anvilwell_gateway.http import server
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/engine"
# Timeout of a notice, in seconds. An entry that is running answers within
# milliseconds.
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 64 << 10

# Errors of a call without an answer, or with one that can't be decoded.
_CALL_FAILURES = (exceptions.BackendFailed, cbor2.CBORError, ValueError)

_LOG = logs.get_logger(__name__)


class Notice(typing.NamedTuple):
    """An engine's versions, and the models that it is loading.

    Engines do not report to their agents under which id they are registered,
    so ``address`` names the engine, as ``ip:port``. ``started_ms`` identifies
    its incarnation by the Unix time of its start in milliseconds, 0 if
    unknown.
    """

    address: str
    versions: tuple[facts.ModelVersion, ...]
    loading: tuple[str, ...] = ()
    started_ms: int = 0


class NoticeResponse(typing.NamedTuple):
    """An entry's response to a notice.

    ``min_versions_by_model`` has, for each model, the oldest version that the
    entry's newest batch of that model accepts. ``entries`` are the VMs that
    need notices of the same service, and ``engines_digest`` is the `digest` of
    the addresses of the service's engines.
    """

    min_versions_by_model: dict[str, int]
    entries: tuple[str, ...] = ()
    engines_digest: int = 0


class EngineDigest(typing.NamedTuple):
    """The newest digest of a service's engines, and when it was received."""

    digest: int | None = None
    received_at: float = float("-inf")


_NOTICE = pydantic.TypeAdapter(Notice)
_RESPONSE = pydantic.TypeAdapter(NoticeResponse)


def read(body):
    """Return the `Notice` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If the body is not a valid notice.
    """
    return peer_calls.decode(_NOTICE, body, "notice")


def digest(addresses):
    """Return a hash that differs between different sets of addresses."""
    text = " ".join(sorted(str(one) for one in addresses))
    return xxhash.xxh3_64_intdigest(text.encode())


class NoticeHandler:
    """Handles the notices that agents send to this entry.

    Parameters
    ----------
    directory : directory.Directory
        Receives each notice.
    min_versions_by_model : callable
        Returns the oldest version that the newest batch of each model accepts
        at this entry.
    notice_subscribers : notice_subscribers.NoticeSubscribers
        Finds the entries that need notices.
    """

    def __init__(self, directory, min_versions_by_model, notice_subscribers):
        self._directory = directory
        self._min_versions_by_model = min_versions_by_model
        self._notice_subscribers = notice_subscribers
        self._digests_by_service = {}
        directory.listen(self._replicas_changed)

    async def answer(self, request, responder):
        """Answer an agent's request."""
        notice = read(request.body)
        self._directory.apply_notice(notice)
        service = self._directory.service_at(notice.address)
        entries = tuple(self._notice_subscribers.find(service))
        answer = NoticeResponse(
            self._min_versions_by_model(), entries, self._digest(service)
        )
        await responder.send(200, (), cbor2.dumps(answer))

    def _digest(self, service):
        """Return a service's engine digest, cached until engines change."""
        if service not in self._digests_by_service:
            self._digests_by_service[service] = digest(
                one.address
                for one in self._directory.replicas_by_id.values()
                if one.service == service
            )
        return self._digests_by_service[service]

    def _replicas_changed(self, changed):
        if changed.is_membership:
            self._digests_by_service.clear()


class NoticeSender:
    """Sends notices to the entries that need them."""

    def __init__(self):
        # Keep connections open between notices: the next one follows some
        # seconds later, with the next version.
        self._pool = connection_pool.Pool(
            asyncio.get_running_loop().time,
            use_keepalive=True,
            default_keep_alive_s=server.FIRST_LIMITS.idle_timeout_s,
        )
        self._recipients = notice_recipients.NoticeRecipients()
        self._addresses_by_vm = {}
        self._clock = asyncio.get_running_loop().time
        self.engine_digest = EngineDigest()

    def set_entries(self, addresses_by_vm, ranked):
        """Set the entries' addresses, and the order in which to ask them."""
        self._addresses_by_vm = addresses_by_vm
        self._recipients.set_entries(ranked)

    async def send(self, notice):
        """Send a notice to the entries that need it.

        Returns
        -------
        dict
            The oldest version that the newest batch of each model accepts, by
            model, as reported by the entries that answered.
        """
        delivery = self._recipients.begin()
        min_versions_by_model = {}
        await self._send_to_each(
            delivery.first_recipients(),
            delivery,
            cbor2.dumps(notice),
            min_versions_by_model,
        )
        return min_versions_by_model

    async def _send_to_each(
        self, vm_ids, delivery, body, min_versions_by_model
    ):
        """Send to these VMs and to those that they name as recipients.

        Collects the reported versions in `min_versions_by_model`.
        """
        await asyncio.gather(
            *(
                self._send_to(vm_id, delivery, body, min_versions_by_model)
                for vm_id in vm_ids
            )
        )

    async def _send_to(self, vm_id, delivery, body, min_versions_by_model):
        answer = await self._ask(vm_id, body)
        if answer is None:
            others = delivery.failed(vm_id)
        else:
            others = delivery.answered(vm_id, answer.entries)
            self.engine_digest = EngineDigest(
                answer.engines_digest, self._clock()
            )
            for model, version in answer.min_versions_by_model.items():
                known = min_versions_by_model.get(model, 0)
                min_versions_by_model[model] = max(known, version)
        await self._send_to_each(others, delivery, body, min_versions_by_model)

    async def _ask(self, vm_id, body):
        """Return an entry's `NoticeResponse`, or None if it did not answer."""
        address = self._addresses_by_vm.get(vm_id)
        if address is None:
            return None
        request = messages.Request(
            "POST", TARGET, (("Host", str(address)),), body
        )
        try:
            reply, answer = await self._pool.call(
                vm_id, address, request, TIMEOUT_S, MAX_ANSWER_BYTES
            )
            if reply.status == 200:
                return _RESPONSE.validate_python(cbor2.loads(answer))
            cause = f"status {reply.status}"
        except _CALL_FAILURES as error:
            cause = repr(error)
        _LOG.routine("entry-not-told", entry=vm_id, cause=cause)
        return None

    def close(self):
        """Close the connections."""
        self._pool.close()
