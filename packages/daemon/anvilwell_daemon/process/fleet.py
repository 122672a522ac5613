"""How the services that join a daemon to the fleet are made."""

from anvilwell_daemon.admin import service as operators
from anvilwell_daemon.configuration import service as configurations
from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service as leases
from anvilwell_daemon.membership import service as memberships
from anvilwell_daemon.peers import service as peers
from anvilwell_daemon.rollout import engine_orders
from anvilwell_daemon.rollout import relay
from anvilwell_daemon.rollout import service as rollouts
from anvilwell_platform.adapters import etcd
from anvilwell_platform.adapters import http_vmlist
from anvilwell_platform.adapters import http_weightstore
from anvilwell_platform.adapters import sse_engine


def is_alone(settings):
    """Return whether this entry works without a fleet, from a folder."""
    return settings.is_entry and settings.entry.documents is not None


def keyvalue(settings, kernel):
    """Make ``keyvalue``."""
    return facade.KeyValueFacade(
        etcd.Etcd.from_config(settings.keyvalue),
        timeout_s=settings.keyvalue.timeout_s,
    )


def peer_links(settings, kernel):
    """Make ``peers``."""
    return peers.Peers.from_config(settings, kernel.get("listener"))


def membership(settings, kernel):
    """Make ``membership``."""
    return memberships.Membership.from_config(settings, _vm_list(settings))


def lease_holder(settings, kernel):
    """Make ``leases``."""
    return leases.Leases.from_config(settings)


def configuration(settings, kernel):
    """Make ``configuration``."""
    return configurations.Configuration.from_config(
        settings, _vm_list(settings)
    )


def order_relay(settings, kernel):
    """Make ``order-relay``."""
    return relay.OrderRelay()


def orders(settings, kernel):
    """Make ``engine-orders``, for agents of model engines."""
    section = settings.agent
    if section.backend_kind != "model":
        return None
    engine = sse_engine.SseEngine.from_config(section)
    return engine_orders.EngineOrders(
        settings.daemon.vm_id, section.service, engine
    )


def rollout(settings, kernel):
    """Make ``rollout``."""
    return rollouts.Rollout(_weight_store(settings))


def operators_interface(settings, kernel):
    """Make ``operators``."""
    return operators.Operators.from_config(settings)


def _vm_list(settings):
    if not settings.vmlist.endpoints:
        return None
    return http_vmlist.HttpVmList.from_config(settings.vmlist)


def _weight_store(settings):
    if not settings.weightstore.endpoints:
        return None
    return http_weightstore.HttpWeightStore.from_config(settings.weightstore)
