"""Which services a role has, and how each is made from settings."""

import typing

from anvilwell_daemon.admin import service as operators
from anvilwell_daemon.claims import service as claims
from anvilwell_daemon.configuration import service as configuration
from anvilwell_daemon.configuration import versions
from anvilwell_daemon.entry import documents
from anvilwell_daemon.entry import traces
from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service as leases
from anvilwell_daemon.membership import service as membership
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers
from anvilwell_daemon.process import data_path
from anvilwell_daemon.process import pages
from anvilwell_daemon.process import weights
from anvilwell_daemon.runs import keeper
from anvilwell_daemon.runs import service as runs
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import services
from anvilwell_kernel import web
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_scorer
from anvilwell_outside.adapters import http_vmlist

ENTRY = ("entry",)
AGENT = ("agent",)
BOTH = ENTRY + AGENT
ADMIN_THREADS = 8

_CLOCK = clocks.SystemClock()


class Factory(typing.NamedTuple):
    """Makes one service.

    ``make`` takes the settings and the kernel, which has the services
    above it in `FACTORIES`. It may return None if the settings want no
    such service.
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


def _listener(settings, kernel):
    return listener.Listener.from_config(settings)


def _web(settings, kernel):
    limits = settings.limits
    return web.WebServer(
        *settings.entry.listen,
        name="web",
        threads=settings.entry.threads,
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
    )


def _admin(settings, kernel):
    if settings.admin is None:
        return None
    return web.WebServer(*settings.admin, name="admin", threads=ADMIN_THREADS)


def _pages(settings, kernel):
    names = ("web", "admin")
    return pages.Pages(name for name in names if kernel.has(name))


def _keyvalue(settings, kernel):
    section = settings.keyvalue
    port = etcd.Etcd.from_config(section)
    return facade.KeyValueFacade(port, timeout_s=section.timeout_s)


def _peers(settings, kernel):
    return peers.Peers(settings.daemon.vm_id, kernel.get("listener"))


def _membership(settings, kernel):
    vm_list = _vm_list(settings)
    return membership.Membership.from_config(settings, vm_list)


def _leases(settings, kernel):
    return leases.Leases.from_config(settings)


def _configuration(settings, kernel):
    if settings.is_entry and settings.entry.documents:
        return documents.FolderConfiguration(settings.entry.documents)
    vm_list = _vm_list(settings)
    return configuration.Configuration.from_config(settings, vm_list)


def _versions(settings, kernel):
    if settings.entry.documents:
        return None
    return versions.Versions()


def _vm_list(settings):
    if not settings.vmlist.endpoints:
        return None
    return http_vmlist.HttpVmList.from_config(settings.vmlist)


def _traces(settings, kernel):
    return traces.Traces(_CLOCK, settings.limits.max_traces)


def _sample_bytes(settings, kernel):
    return keeper.Keeper()


def _runs(settings, kernel):
    if settings.entry.documents:
        return None
    scorer = None
    if settings.scorer.endpoints:
        scorer = http_scorer.HttpScorer.from_config(settings.scorer)
    return runs.Runs(settings.daemon.vm_id, scorer)


def _claims(settings, kernel):
    return claims.Claims(settings.daemon.vm_id, _CLOCK)


def _operators(settings, kernel):
    return operators.Operators.from_config(settings)


FACTORIES = (
    Factory("listener", BOTH, _listener),
    Factory("keyvalue", BOTH, _keyvalue),
    Factory("peers", BOTH, _peers),
    Factory("membership", BOTH, _membership),
    Factory("leases", BOTH, _leases),
    Factory("engine-orders", AGENT, weights.orders),
    Factory("order-relay", BOTH, weights.order_relay),
    Factory("configuration", BOTH, _configuration),
    Factory("versions", ENTRY, _versions),
    Factory("rollout", ENTRY, weights.rollout),
    Factory("traces", ENTRY, _traces),
    Factory("replicas", ENTRY, data_path.replicas),
    Factory("dispatcher", ENTRY, data_path.dispatcher),
    Factory("callers", ENTRY, data_path.callers),
    Factory("web", ENTRY, _web),
    Factory("admin", BOTH, _admin),
    Factory("pages", BOTH, _pages),
    Factory("claims", ENTRY, _claims),
    Factory("sample-bytes", BOTH, _sample_bytes),
    Factory("runs", ENTRY, _runs),
    Factory("operators", ENTRY, _operators),
    Factory("agent", AGENT, data_path.agent),
)
