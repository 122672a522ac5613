"""How the services that change weight versions are made."""

from anvilwell_daemon.rollout import engine_orders
from anvilwell_daemon.rollout import relay
from anvilwell_daemon.rollout import service as rollouts
from anvilwell_outside.adapters import http_weightstore
from anvilwell_outside.adapters import sse_engine


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
    store = settings.weightstore
    if not store.endpoints:
        return rollouts.Rollout()
    return rollouts.Rollout(
        http_weightstore.HttpWeightStore.from_config(store)
    )
