"""The service ``configuration``."""

import asyncio
import random
import uuid

from anvilwell_daemon.configuration import absence
from anvilwell_daemon.configuration import exchanges
from anvilwell_daemon.configuration import fleet
from anvilwell_daemon.configuration import joining
from anvilwell_daemon.configuration import meters
from anvilwell_daemon.configuration import proposer
from anvilwell_daemon.configuration import resolver
from anvilwell_daemon.configuration import spread
from anvilwell_daemon.configuration import store
from anvilwell_daemon.configuration import texts
from anvilwell_daemon.configuration import watching
from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.configuration import member
from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)
_LEAVE_TIMEOUT_S = 2.0


class Configuration(services.Service):
    """Says under which document to work, and carries changes.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    service : str
        The agent's service; "" for an entry, which follows all.
    failure_domain : str
        This VM's failure domain.
    vm_list : ports.vmlist.VmList, optional
        Tells VMs that are gone from silent ones.
    """

    name = "configuration"
    needs = ("listener", "peers", "membership", "keyvalue")

    def __init__(
        self,
        role,
        service,
        failure_domain,
        *,
        vm_list=None,
        bounds=None,
        clock=None,
        rng=None,
    ):
        self._role = member.Role(service if role == "agent" else "")
        self._failure_domain = failure_domain
        self._vm_list = vm_list
        self._bounds = bounds or limits.Limits()
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._texts = texts.Texts()
        self._callbacks = []
        self._tasks = set()
        self._member = None
        self._store = None
        self._spread = None
        self._joining = None
        self._proposer = None
        self._absence = None

    @classmethod
    def from_config(cls, settings, vm_list=None):
        """Return the service for the daemon with `settings`."""
        return cls(
            settings.daemon.role,
            settings.agent.service if settings.agent else "",
            settings.daemon.failure_domain,
            vm_list=vm_list,
        )

    def document(self, service):
        """Return the ``documents.Document`` to take new work under.

        Safe from any thread.

        Raises
        ------
        exceptions.Refused
            With the reason NOT_CONFIGURED, CONFIGURATION_UNCERTAIN or
            DRAINING; nothing ran.
        """
        return self._texts.parse(self._in_force(service))

    def generation(self, service):
        """Return the generation of `document`; raises the same."""
        return self._in_force(service).generation

    def newest_generation(self, service):
        """Return the newest generation known here, 0 if none is.

        Unlike `generation` it also tells while no new work is taken, as
        during a drain.
        """
        if self._member is None:
            return 0
        document = self._member.documents_by_service.get(service)
        return document.generation if document else 0

    def services(self):
        """Return the names of the services with a document here."""
        if self._member is None:
            return []
        return sorted(
            service
            for service, one in self._member.documents_by_service.items()
            if one.generation
        )

    def subscribe(self, callback):
        """Call ``callback(service, generation)`` at each new document.

        Callbacks run on the event loop and must not block.
        """
        self._callbacks.append(callback)

    async def propose(
        self,
        service,
        text,
        change_id=None,
        expected_generation=None,
        operator="",
    ):
        """Change the document of `service`; return an ``Outcome``.

        Repeating it with the same `change_id` never changes it twice.
        """
        request = outcomes.Request(
            change_id or uuid.uuid4().hex,
            service,
            text,
            operator,
            expected_generation,
        )
        outcome = await self._propose(request)
        meters.count_outcome(outcome)
        _LOG.log("change", service=service, **outcome._asdict())
        return outcome

    async def propose_version(self, service, version, operator="trainer"):
        """Ask for weight `version`; return an ``Outcome``.

        A version below the one in force is refused: only an operator
        goes back, by the document.
        """
        while True:
            document = self._in_force(service)
            text = self._texts.with_version(document, version)
            outcome = await self.propose(
                service,
                text,
                expected_generation=document.generation,
                operator=operator,
            )
            is_overtaken = (
                outcome.reason == reasons.Refusal.CONFLICT
                and self._in_force(service).generation > document.generation
            )
            if not is_overtaken:
                return outcome

    async def record(self, service):
        """Return the ``record.Record`` of `service`, with its history.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the service does not answer.
        """
        slot = await self._store.run(_read(registry.record_key(service)))
        if slot is None:
            raise exceptions.KeyValueUnavailable(
                "the key-value service does not answer; try again"
            )
        return records.decode(slot.value, service)

    async def start(self, kernel):
        """Join, and begin to answer, exchange, resolve and watch."""
        peers = kernel.get("peers")
        members = kernel.get("membership")
        instance = messages.Instance(
            peers.vm_id,
            uuid.uuid4().hex,
            kernel.get("listener").address,
            self._failure_domain,
        )
        self._member = member.Member(
            instance,
            self._role,
            self._bounds,
            self._texts.problems,
            self._applied,
        )
        self._store = store.Store(kernel.get("keyvalue"), self._sequence_of)
        self._absence = absence.Absence(members, self._vm_list, self._clock)
        self._spread = spread.Spread(
            self._member, peers, self._absence, self._clock
        )
        self._proposer = proposer.Proposer(
            self._make_run, self._bounds, self._rng, self._clock
        )
        self._answer(peers)
        self._run_parts(peers, members, instance)

    async def drain(self):
        """Take no new work; changes no longer wait for this daemon."""
        self._member.is_leaving = True

    async def stop(self):
        """Stop, and take this daemon off the list if that is quick."""
        if self._member is None:
            return
        self._member.is_leaving = True
        await self._proposer.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self._joining.leave()
        except TimeoutError:
            _LOG.log("still-listed")

    def is_ready(self):
        """Return whether this daemon may serve."""
        if self._member is None or self._member.is_leaving:
            return False
        return self._member.membership.may_serve(self._clock.monotonic())

    def _answer(self, peers):
        peers.declare(messages.KINDS)
        peers.on(messages.PrepareChange, self._spread.serve_prepare)
        peers.on(messages.CommitChange, self._spread.serve_tell)
        peers.on(messages.AbortChange, self._spread.serve_tell)
        for kind in (
            messages.DocumentDigest,
            messages.Documents,
            messages.SponsorRequest,
        ):
            peers.on(kind, self._handle)

    def _run_parts(self, peers, members, instance):
        others = fleet.Fleet(members, instance, self._role, self._rng)
        exchange = exchanges.Exchanges(
            self._member, peers, others, self._bounds.exchange_s, self._rng
        )
        self._joining = joining.Joining(
            self._member,
            self._store,
            exchange,
            peers,
            others,
            self._clock,
            self._rng,
        )
        resolving = resolver.Resolver(
            self._member,
            self._store,
            peers,
            others,
            self._bounds,
            self._clock,
        )
        watch = watching.Watching(self._member, self._store, others, self._rng)
        self._spawn(self._joining.join())
        self._spawn(self._joining.stay_sponsored())
        self._spawn(exchange.run())
        self._spawn(resolving.run())
        self._spawn(watch.run())

    async def _handle(self, vm_id, message):
        return self._member.handle(message, self._clock.monotonic())

    async def _propose(self, request):
        problems = self._texts.problems(request.service, request.text)
        if problems:
            reason = reasons.Refusal.BAD_DOCUMENT
            return proposer.refuse(request, reason, problems)
        if not self._member.membership.is_listed:
            reason = reasons.Refusal.NOT_CONFIGURED
            return proposer.refuse(
                request, reason, ["this daemon has not joined yet"]
            )
        await self._absence.refresh()
        return await self._proposer.propose(request)

    def _make_run(self, request, bounds):
        return proposer.Run(
            request,
            self._member.participant(request.service).in_force,
            self._store,
            self._spread,
            bounds,
            self._clock,
        )

    def _in_force(self, service):
        if self._member is None:
            raise exceptions.Refused(
                "this daemon has not started yet",
                reason=reasons.Refusal.NOT_CONFIGURED,
            )
        return self._member.document(service, self._clock.monotonic())

    def _sequence_of(self, service):
        return self._member.participant(service).in_force.sequence

    def _applied(self, document):
        _LOG.log(
            "applied",
            service=document.service,
            generation=document.generation,
        )
        for callback in list(self._callbacks):
            callback(document.service, document.generation)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            _LOG.log("failed", cause=repr(task.exception()))


def _read(key):
    return (yield flows.ReadKey(key))
