"""Tests the choice of replicas for attempts at live calls."""

import asyncio
import random
import types

from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import expected_latency
from anvilwell_decisions.requests import facts as request_facts
from anvilwell_decisions.traffic import facts
from anvilwell_gateway import attempts
from anvilwell_gateway import dialect
from anvilwell_gateway.http import messages


def test_healthy_cold_replicas_come_before_ejected_warm_ones():
    """Guard against calls to a failing replica while others are cold."""
    rng = random.Random(1)
    policy = ejection.OutlierEjection(
        rng, expected_latency.LeastExpectedLatency(rng)
    )

    async def scenario():
        now = asyncio.get_running_loop().time()
        for name in ("failing", "cold", "full"):
            policy.replica_up(request_facts.ReplicaFacts(name, "a"), now)
        for _ in range(3):
            failure = request_facts.AttemptEnd("failing", True, 0.1, False)
            policy.ended(failure, now)
        assert policy.ejected == ["failing"]
        limits = types.SimpleNamespace(
            exclusions=lambda service, tried: iter(
                (tried | {"cold", "full"}, tried | {"full"})
            )
        )
        forwarder = types.SimpleNamespace(
            policy=lambda service: policy,
            cold_replicas=limits,
            not_allowed_ids=lambda *args: (),
        )
        target = facts.WeightedService("plain", 1.0)
        attempt = attempts.Attempts(
            forwarder,
            facts.Route("r", "h", "/", (target,), False),
            dialect.RequestHead("c1", None),
            messages.Request("POST", "/", (), b"", now),
        )
        assert attempt._choose_id() == "cold"
        attempt.tried_replica_ids.append("cold")
        assert attempt._choose_id() == "failing"

    asyncio.run(scenario())
