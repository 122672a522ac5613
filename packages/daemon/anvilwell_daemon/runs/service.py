"""The service ``runs``: holds runs, or passes calls to who does."""

import asyncio
import functools
import json
import traceback as tracebacks

from anvilwell_daemon.runs import copies
from anvilwell_daemon.runs import dispatch
from anvilwell_daemon.runs import fleet
from anvilwell_daemon.runs import holder as holders
from anvilwell_daemon.runs import location as locations
from anvilwell_daemon.runs import requests
from anvilwell_daemon.runs import routes
from anvilwell_decisions.leases import session as sessions
from anvilwell_decisions.samples import schedule
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import samples as messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

TURN_PERIOD_S = 0.25
FORWARD_TIMEOUT_S = 5.0
RETRY_S = 1.0
# After a fault others stand first: they look twice within a lease's life.
FAULT_RETRY_S = sessions.TTL_S

_LOG = logs.get_logger(__name__)


class Runs(services.Service):
    """Stands for the runs of every model service; serves trainers.

    A call that meets an entry which does not hold the service's runs is
    passed to the one that does.

    Parameters
    ----------
    vm_id : str
        This daemon's VM id.
    scorer : ports.scorer.Scorer, optional
        Scores samples; without one they have no score.
    """

    name = "runs"
    needs = (
        "configuration",
        "dispatcher",
        "keyvalue",
        "leases",
        "membership",
        "peers",
        "replicas",
        "sample-bytes",
        "web",
    )

    def __init__(self, vm_id, scorer=None, *, clock=None):
        self._vm_id = vm_id
        self._scorer = scorer
        self._clock = clock or clocks.SystemClock()
        self._holders_by_service = {}
        self._tasks_by_service = {}
        self._kernel = None
        self._location = None
        self._parts = None
        self._turns = None

    async def start(self, kernel):
        """Begin to stand for services and to serve trainers."""
        self._kernel = kernel
        keyvalue = kernel.get("keyvalue")
        self._location = locations.Location(keyvalue, self._clock)
        neighbours = fleet.MemberNeighbours(kernel.get("membership"))
        peers = kernel.get("peers")
        store = kernel.get("sample-bytes").store
        shared = copies.Copies(self._vm_id, store, peers, neighbours)
        peers.on(messages.RunCall, self._on_call)
        generator = dispatch.DispatchGenerator(
            kernel.get("dispatcher"),
            kernel.get("replicas"),
            kernel.get("configuration"),
        )
        self._parts = holders.Parts(
            self._clock,
            store,
            shared,
            keyvalue,
            generator,
            self._scorer,
        )
        routes.Routes(self, asyncio.get_running_loop()).add_to(
            kernel.get("web")
        )
        self._turns = asyncio.create_task(self._take_turns())

    async def drain(self):
        """Give up the runs, so that another entry takes them over."""
        await self.stop()

    async def stop(self):
        """Stop holding; what is recorded stays."""
        tasks = [*self._tasks_by_service.values()]
        if self._turns:
            tasks.append(self._turns)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks_by_service.clear()

    def holds(self, service):
        """Return whether this entry holds the runs of `service`."""
        return service in self._holders_by_service

    def unfinished(self, service):
        """Return how many samples are not recorded yet, of runs held."""
        return self._holders_by_service[service].unfinished

    async def submit(self, step):
        """Record a step, here or at its holder."""
        self._document(step.service)
        await self._location.bind(step.run, step.service)
        arguments = requests.encode_step(step)
        return await self._call(step.service, "submit", arguments)

    async def collect(self, run, query):
        """Return a batch of samples as JSON-able data."""
        service = await self._location.service(run)
        arguments = json.dumps([run, *query]).encode()
        return await self._call(service, "collect", arguments, query.wait_s)

    async def set_version(self, run, version):
        """Record the version that a trainer has."""
        service = await self._location.service(run)
        arguments = json.dumps([run, version]).encode()
        return await self._call(service, "set_version", arguments)

    async def _call(self, service, kind, arguments, wait_s=0.0):
        call = messages.RunCall(service, kind, arguments)
        if self.holds(service):
            return await self._serve(call)
        vm_id = await self._location.holder(service)
        if vm_id == self._vm_id:
            raise _not_held(service)
        timeout_s = FORWARD_TIMEOUT_S + holders.RECORD_TIMEOUT_S + wait_s
        answer = await self._kernel.get("peers").request(
            vm_id, call, timeout_s
        )
        return json.loads(answer.body)

    async def _on_call(self, vm_id, call):
        body = await self._serve(call)
        return messages.RunAnswer(json.dumps(body).encode())

    async def _serve(self, call):
        holder = self._holders_by_service.get(call.service)
        if holder is None:
            raise _not_held(call.service)
        if call.kind == "submit":
            step = requests.decode_step(call.arguments)
            await self._open(holder, step.run)
            await holder.submit(step)
            return {"run": step.run, "step": step.step}
        run, *rest = json.loads(call.arguments)
        await self._open(holder, run)
        if call.kind == "set_version":
            await holder.set_version(run, *rest)
            return {"run": run, "version": rest[0]}
        cursor, wait_s, limit = rest
        return await holder.collect(run, cursor, limit, wait_s)

    async def _open(self, holder, run):
        document = self._document(holder.service)
        await holder.open_run(run, document.trainers.get(run, 1.0))

    def _document(self, service):
        document = self._kernel.get("configuration").document(service)
        if document.model is None:
            raise exceptions.BadRequest(
                f"service {service} is no model service; name the one "
                "that generates samples"
            )
        return document

    async def _take_turns(self):
        while True:
            for service in self._kernel.get("configuration").services():
                if service not in self._tasks_by_service:
                    self._stand(service)
            await asyncio.sleep(TURN_PERIOD_S)

    def _stand(self, service):
        try:
            self._document(service)
        except exceptions.AnvilwellError:
            return
        task = asyncio.create_task(self._keep_standing(service))
        self._tasks_by_service[service] = task

    async def _keep_standing(self, service):
        leases = self._kernel.get("leases")
        while True:
            lease = await leases.hold(locations.lease_name(service))
            retry_s = RETRY_S
            try:
                if await self._hold(service, lease):
                    retry_s = FAULT_RETRY_S
            except exceptions.AnvilwellError as error:
                _LOG.log("hold-failed", service=service, cause=error.message)
            except Exception:
                # Whatever it was: another entry may fare better.
                counters.count_refusal(reasons.Refusal.INTERNAL, service)
                trace = tracebacks.format_exc()
                _LOG.log("hold-failed", service=service, traceback=trace)
                retry_s = FAULT_RETRY_S
            finally:
                await leases.release(lease)
            await asyncio.sleep(retry_s)

    async def _hold(self, service, lease):
        """Hold the runs until the lease ends; return if by a fault."""
        model = self._document(service).model
        policy = schedule.Policy().prefer(model.preference)
        holder = holders.Holder(
            service,
            self._vm_id,
            lease,
            self._parts,
            bound=model.staleness_bound,
            policy=policy,
        )
        holder.start()
        replicas = self._kernel.get("replicas")
        replicas.want_all(service)
        try:
            for run in await self._location.runs(service):
                await self._open(holder, run)
            self._holders_by_service[service] = holder
            _LOG.log("holding", service=service, fencing=lease.fencing)
            await self._follow(service, holder, lease)
        finally:
            self._holders_by_service.pop(service, None)
            replicas.release(service)
            await holder.stop()
        return holder.failed

    async def _follow(self, service, holder, lease):
        replicas = self._kernel.get("replicas")
        watch = fleet.ReplicaWatch(service, replicas, holder)
        source = functools.partial(self._document, service)
        document = fleet.DocumentWatch(source, holder)
        while lease.is_valid and not holder.lost.is_set():
            watch.look()
            document.look()
            await asyncio.sleep(TURN_PERIOD_S)


def _not_held(service):
    return exceptions.Refused(
        f"the runs of {service} are between two holders; ask again",
        reason=reasons.Refusal.NOT_LEADER,
        retry_after=RETRY_S,
    )
