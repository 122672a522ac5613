"""What agents tell entries directly: what their engines load and have.

An entry learns a new version from the registrations within two seconds,
and that an engine loads, only from its refusals. Notices take a
millisecond, and cost no call to the key-value service. They go to the
entries that run batches; see ``audience``.
"""

import asyncio
import typing

import cbor2
import pydantic
import xxhash

from anvilwell_decisions.duties import notice_recipients
from anvilwell_decisions.traffic import facts
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_gateway.http import server
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/engine"
# An entry answers within milliseconds; one that does not is not there.
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 64 << 10

# No answer, or none that can be read.
_CALL_FAILURES = (exceptions.BackendFailed, cbor2.CBORError, ValueError)

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


class NoticeResponse(typing.NamedTuple):
    """What an entry answers to a notice.

    ``needs_by_model`` has the oldest version that the newest batch of a
    model may be made under, of its own batches. ``entries`` are the VMs
    that need notices of the same service, ``engines`` the `digest` of the
    addresses of its engines.
    """

    min_versions_by_model: dict[str, int]
    entries: tuple[str, ...] = ()
    engines_digest: int = 0


class EngineDigest(typing.NamedTuple):
    """The newest digest of a service's engines, and when it came."""

    digest: int | None = None
    received_at: float = float("-inf")


_NOTICE = pydantic.TypeAdapter(Notice)
_RESPONSE = pydantic.TypeAdapter(NoticeResponse)


def read(body):
    """Return the `Notice` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_NOTICE, body, "notice")


def digest(addresses):
    """Return a number that tells sets of addresses apart."""
    text = " ".join(sorted(str(one) for one in addresses))
    return xxhash.xxh3_64_intdigest(text.encode())


class NoticeHandler:
    """Takes notices.

    Parameters
    ----------
    directory : directory.Directory
        Told of each.
    needs_by_model : callable
        Returns what this entry's newest batches need.
    needing : needing.Needing
        Which entries need notices.
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
        """Return the digest of a service's engines, found once a change."""
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
        # The next notice comes some seconds later, with the next version.
        self._pool = client.Pool(
            asyncio.get_running_loop().time,
            use_keepalive=True,
            default_keep_alive_s=server.FIRST_LIMITS.idle_timeout_s,
        )
        self._recipients = notice_recipients.NoticeRecipients()
        self._addresses_by_vm = {}
        self._clock = asyncio.get_running_loop().time
        self.engine_digest = EngineDigest()

    def set_entries(self, addresses_by_vm, ranked):
        """Take in where the entries are, and whom to ask first."""
        self._addresses_by_vm = addresses_by_vm
        self._recipients.set_entries(ranked)

    async def send(self, notice):
        """Tell those that need it; return what their newest batches need.

        Returns
        -------
        dict
            The oldest version that the newest batch of a model may be
            made under, by model; of the entries that answered.
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
        """Tell these and whomever they name; note what batches need."""
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
        """Return an entry's `Answer`, or None."""
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
