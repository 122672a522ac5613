"""Which services a role has, and how each is made from settings."""

import typing

from anvilwell_daemon.admin import service as admin
from anvilwell_daemon.agent import admission
from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent.backends import plain
from anvilwell_daemon.agent import lock
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import dispatcher
from anvilwell_daemon.entry import documents
from anvilwell_daemon.entry import handlers
from anvilwell_daemon.entry import replicas
from anvilwell_daemon.entry import traces
from anvilwell_daemon.peers import listener
from anvilwell_daemon.process import health
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.messages import links
from anvilwell_kernel import services
from anvilwell_kernel import web
from anvilwell_platform.adapters import http_plain
from anvilwell_platform.adapters import sse_engine

ENTRY = ("entry",)
AGENT = ("agent",)
BOTH = ENTRY + AGENT
CLOCK = clocks.SystemClock()
ADMIN_THREADS = 8


class Factory(typing.NamedTuple):
    """Makes one service; ``make`` takes the settings and the kernel.

    It may return None if the settings want no such service.
    """

    name: str
    roles: tuple
    make: typing.Callable


def build(settings):
    """Return a `services.Kernel` with the services of the role."""
    kernel = services.Kernel()
    for factory in FACTORIES:
        if settings.daemon.role in factory.roles:
            service = factory.make(settings, kernel)
            if service is not None:
                kernel.add(service)
    return kernel


def hello(settings):
    """Return the `links.Hello` of this daemon."""
    daemon = settings.daemon
    return links.Hello(
        daemon.vm_id,
        daemon.role,
        settings.agent.service if settings.agent else "",
        daemon.failure_domain,
        int(CLOCK.wall() * 1000),
    )


def _listener(settings, kernel):
    return listener.Listener(*settings.listener)


def _web(settings, kernel):
    return web.WebServer(
        *settings.entry.listen,
        name="web",
        threads=settings.entry.threads,
        max_body_bytes=settings.limits.max_body_bytes,
        max_header_bytes=settings.limits.max_header_bytes,
    )


def _admin(settings, kernel):
    if settings.admin is None:
        return None
    return web.WebServer(*settings.admin, name="admin", threads=ADMIN_THREADS)


def _health(settings, kernel):
    servers = ("web", "admin")
    return health.Health(name for name in servers if kernel.has(name))


def _agent(settings, kernel):
    section = settings.agent
    backend_lock = lock.BackendLock(str(section.backend))
    backend_lock.acquire()
    return agents.Agent(
        hello(settings),
        _backend(section),
        admission.BoundedPriorityQueue(section.capacity, 64),
        CLOCK,
        backend_lock,
    )


def _backend(section):
    if section.backend_kind == "plain":
        return plain.PlainBackend(http_plain.HttpPlain.from_config(section))
    return model.ModelBackend(sse_engine.SseEngine.from_config(section))


def _replicas(settings, kernel):
    addresses = [str(address) for address in settings.entry.static_replicas]
    return replicas.Replicas(hello(settings), addresses)


def _configuration(settings, kernel):
    return documents.FolderConfiguration(settings.entry.documents)


def _operators(settings, kernel):
    return admin.Operators.from_config(settings)


def _traces(settings, kernel):
    return traces.Traces(CLOCK, settings.limits.max_traces)


def _dispatcher(settings, kernel):
    return dispatcher.Dispatcher(CLOCK)


def _callers(settings, kernel):
    return handlers.Callers(settings.limits.max_streams)


FACTORIES = (
    Factory("listener", BOTH, _listener),
    Factory("web", ENTRY, _web),
    Factory("admin", BOTH, _admin),
    Factory("health", BOTH, _health),
    Factory("operators", ENTRY, _operators),
    Factory("traces", ENTRY, _traces),
    Factory("configuration", ENTRY, _configuration),
    Factory("replicas", ENTRY, _replicas),
    Factory("dispatcher", ENTRY, _dispatcher),
    Factory("callers", ENTRY, _callers),
    Factory("agent", AGENT, _agent),
)
