"""Factories of the services that carry requests."""

from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent.backends import plain
from anvilwell_daemon.agent import lock
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import dispatcher as dispatchers
from anvilwell_daemon.entry import handlers
from anvilwell_daemon.entry import replicas as replica_sets
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import limits
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.messages import links
from anvilwell_outside.adapters import http_plain
from anvilwell_outside.adapters import sse_engine

_CLOCK = clocks.SystemClock()
_LOWEST_LIMIT = 2
_MS_PER_S = 1000


def hello(settings):
    """Return the `links.Hello` of this daemon."""
    return links.Hello(
        settings.daemon.vm_id,
        settings.daemon.role,
        settings.agent.service if settings.agent else "",
        settings.daemon.failure_domain,
        int(_CLOCK.wall() * _MS_PER_S),
    )


def replicas(settings, kernel):
    """Make the service ``replicas``."""
    addresses = [str(address) for address in settings.entry.static_replicas]
    return replica_sets.Replicas(
        hello(settings),
        addresses,
        _CLOCK,
        max_links=settings.limits.max_replica_links,
    )


def dispatcher(settings, kernel):
    """Make the service ``dispatcher``."""
    return dispatchers.Dispatcher(_CLOCK)


def callers(settings, kernel):
    """Make the service ``callers``."""
    return handlers.Callers(settings.limits.max_streams)


def agent(settings, kernel):
    """Make the service ``agent`` and lock its backend server."""
    section = settings.agent
    backend_lock = lock.BackendLock(str(section.backend))
    backend_lock.acquire()
    bounds = limits.LimitBounds(
        initial=section.capacity,
        lowest=min(_LOWEST_LIMIT, section.capacity),
        highest=section.capacity,
    )
    return agents.Agent(
        hello(settings),
        _backend(section),
        admission.Admission(admission.AdmissionSettings(bounds=bounds)),
        _CLOCK,
        backend_lock,
    )


def _backend(section):
    if section.backend_kind == "plain":
        return plain.PlainBackend(http_plain.HttpPlain.from_config(section))
    return model.ModelBackend(sse_engine.SseEngine.from_config(section))
