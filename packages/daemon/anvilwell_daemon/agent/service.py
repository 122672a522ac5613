"""The service ``agent``: runs requests on its backend server."""

import asyncio
from concurrent import futures
import functools
import itertools
import threading

from anvilwell_daemon.agent import execution as executions
from anvilwell_daemon.agent import session as sessions
from anvilwell_daemon.links import connection as connections
from anvilwell_decisions.requests import admission as admissions
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import links as link_messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

LOAD_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.02
MIN_TIMEOUT_S = 0.001

_LOG = logs.get_logger(__name__)

_TEXTS_BY_REASON = {
    reasons.Refusal.DRAINING: "the agent is shutting down",
    reasons.Refusal.QUEUE_FULL: "the agent's queue is full",
    reasons.Refusal.DEADLINE: "the deadline passed in the agent's queue",
}


class Agent(services.Service):
    """Admits requests, runs them and sends their answers.

    Everything but ``Execution.run`` happens on the event loop.

    Parameters
    ----------
    hello : links.Hello
        Who this agent is.
    backend : base.Backend
        Its backend server.
    admission : admission.Admission
        Decides what runs, waits or is refused; it has its own settings
        until a document names others.
    clock : clock.Clock
        Source of time.
    backend_lock : lock.BackendLock, optional
        Held until the agent stops.
    """

    name = "agent"
    needs = ("listener",)

    def __init__(self, hello, backend, admission, clock, backend_lock=None):
        self._hello = hello
        self._backend = backend
        self._admission = admission
        self._configuration = None
        self._clock = clock
        self._lock = backend_lock
        self._ids = itertools.count(1)
        self._executions_by_id = {}
        self._sessions = set()
        self._controls = futures.ThreadPoolExecutor(
            max_workers=4, thread_name_prefix="control"
        )
        self._draining = False
        self._version = ""
        self._is_reachable = True
        self._tasks = []
        self._loop = None

    @property
    def in_flight(self):
        """The ids of the requests that are not over."""
        return sorted(
            execution.start.request_id
            for execution in self._executions_by_id.values()
        )

    @property
    def stalled(self):
        """How many requests wait for a slow reader."""
        return sum(
            execution.outflow.is_full
            for execution in self._executions_by_id.values()
        )

    async def start(self, kernel):
        """Accept links from entries."""
        self._loop = asyncio.get_running_loop()
        if kernel.has("configuration"):
            self._configuration = kernel.get("configuration")
            self._configuration.subscribe(self._configure)
            self._configure(self._hello.service)
        kernel.get("listener").mount(connections.DATA_PATH, self._serve)
        self._tasks = [
            asyncio.create_task(self._report_load()),
            asyncio.create_task(self._read_load()),
        ]

    def _configure(self, service, generation=0):
        """Take the limits of the service's document, if there is one."""
        if service != self._hello.service:
            return
        try:
            traffic = self._configuration.document(service).traffic
        except exceptions.AnvilwellError as error:
            _LOG.log("no-document", cause=error.message)
            return
        self._admission.configure(
            self._admission.settings._replace(
                max_queue=traffic.max_queue,
                live_reserve=traffic.live_reserve,
            )
        )

    async def drain(self):
        """Refuse new and waiting requests; wait for the running ones."""
        self._draining = True
        leaving = link_messages.Leaving(self._hello.vm_id)
        for session in self._sessions:
            session.send(leaving)
        self._act(self._admission.drain())
        while self._executions_by_id:
            await asyncio.sleep(DRAIN_POLL_S)
        for session in list(self._sessions):
            await session.close()

    async def stop(self):
        """Give up what still runs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for execution in list(self._executions_by_id.values()):
            self.give_up(execution)
        self._controls.shutdown(wait=False, cancel_futures=True)
        if self._lock:
            self._lock.release()

    def is_ready(self):
        """Return whether new requests are taken."""
        return not self._draining

    def execution(self, start, session):
        """Return a new `Execution` of `start`."""
        ticket = executions.ticket_for(
            str(next(self._ids)), start, self._now()
        )
        return executions.Execution(ticket, start, session)

    def offer(self, execution):
        """Ask the admission to run `execution`."""
        refusal = self._refusal(execution.start)
        if refusal:
            execution.fail(refusal)
            self._forget(execution)
            return
        ticket = execution.ticket
        self._executions_by_id[ticket.ticket_id] = execution
        execution.timer = self._loop.call_later(
            execution.start.deadline_s, self._expire, execution
        )
        self._act([self._admission.offer(ticket, self._now())])

    def give_up(self, execution):
        """Stop `execution`, because nobody waits for its answer."""
        execution.close()
        self._leave(execution)

    def _refusal(self, start):
        if start.service != self._hello.service:
            return exceptions.NotFound(
                f"this agent serves {self._hello.service!r}"
            )
        if start.version and start.version != self._version:
            return exceptions.Refused(
                f"the engine has version {self._version!r}",
                reason=reasons.Refusal.UNKNOWN_VERSION,
            )
        return None

    def _expire(self, execution):
        reason, text = executions.expiry(execution.is_running)
        execution.fail(
            exceptions.Timeout(text, reason=reason, verdict=execution.verdict)
        )
        self._leave(execution)

    def _leave(self, execution):
        execution.session.forget(execution)
        if execution.is_running:
            self._controls.submit(self._cancel, execution.start)
            return
        ticket_id = execution.ticket.ticket_id
        if self._executions_by_id.pop(ticket_id, None):
            self._act(self._admission.cancel(ticket_id, self._now()))

    def _cancel(self, start):
        try:
            self._backend.cancel(start)
        except exceptions.AnvilwellError as error:
            _LOG.log("cancel-failed", cause=error.message)

    def _act(self, actions):
        for action in actions:
            execution = self._executions_by_id[action.ticket_id]
            if type(action) is admissions.Admit:
                self._run(execution)
            elif type(action) is admissions.Refuse:
                self._refuse(execution, action)

    def _refuse(self, execution, action):
        text = _TEXTS_BY_REASON.get(action.reason, "the agent is overloaded")
        execution.refuse(action.reason, action.retry_after_s, text)
        self._forget(execution)

    def _run(self, execution):
        execution.is_running = True
        execution.admitted_at = self._now()
        execution.verdict = verdicts.Verdict.MAY_HAVE_RUN
        timeout_s = execution.ticket.deadline - self._now()
        # A daemon thread: a hung backend server can't hold up the exit.
        threading.Thread(
            target=self._work,
            args=(execution, max(MIN_TIMEOUT_S, timeout_s)),
            name=f"run-{execution.start.request_id}",
            daemon=True,
        ).start()

    def _work(self, execution, timeout_s):
        try:
            error = execution.run(self._backend, timeout_s)
        except Exception as unexpected:
            _LOG.log("worker-failed", cause=repr(unexpected))
            error = exceptions.BackendFailed(
                f"the agent failed: {unexpected!r}"
            )
        try:
            self._loop.call_soon_threadsafe(self._finish, execution, error)
        except RuntimeError:
            _LOG.log("finished-after-stop")

    def _finish(self, execution, error):
        execution.is_running = False
        self._act(self._leave_admission(execution, error))
        if error is not None:
            execution.fail(error)
        else:
            execution.verdict = verdicts.Verdict.RAN
        if execution.is_over or execution.outflow.is_ended:
            self._forget(execution)
        else:
            execution.outflow.on_end = functools.partial(
                self._forget, execution
            )

    def _leave_admission(self, execution, error):
        ticket_id = execution.ticket.ticket_id
        now = self._now()
        if error is not None or execution.is_over:
            return self._admission.failed(ticket_id, now)
        latency_s = now - execution.admitted_at
        return self._admission.finished(
            ticket_id, now, latency_s, execution.tokens
        )

    def _forget(self, execution):
        execution.close()
        execution.session.forget(execution)
        self._executions_by_id.pop(execution.ticket.ticket_id, None)

    async def _serve(self, websocket):
        connection = connections.Connection(websocket)
        peer = await connection.exchange_hello(self._hello)
        session = sessions.Session(self._loop, connection, peer, self)
        self._sessions.add(session)
        session.send_load(self._load(session))
        if self._draining:
            session.send(link_messages.Leaving(self._hello.vm_id))
        try:
            await session.run()
        finally:
            self._sessions.discard(session)

    def _load(self, session):
        admission = self._admission
        return link_messages.AgentLoad(
            admission.in_flight,
            admission.queued,
            admission.limit,
            self._version,
            session.in_flight,
            self._is_reachable,
        )

    async def _report_load(self):
        while True:
            for session in self._sessions:
                session.send_load(self._load(session))
            self._act(self._admission.expire(self._now()))
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def _read_load(self):
        while True:
            try:
                load = await self._loop.run_in_executor(
                    self._controls, self._backend.load
                )
                self._is_reachable = True
                self._take(load)
            except exceptions.AnvilwellError as error:
                # One that is only slow still works on its requests.
                refused = error.reason is reasons.Refusal.CONNECT_FAILED
                self._is_reachable = not refused
                _LOG.log("load-failed", cause=error.message)
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _take(self, load):
        if load is not None:
            self._version = load.version
            self._admission.record_server_load(load.running, load.waiting)

    def _now(self):
        return self._clock.monotonic()
