"""A promise broken on purpose in the product is seen by the auditor."""

from anvilwell_bench.audit.promises import exactly_once
from anvilwell_decisions.samples import delivery
from anvilwell_standins.programs import trainer as trainers
import configuring
import deployment as deployments
import pytest
import training


@pytest.fixture
def deployment(tmp_path):
    with deployments.Deployment(tmp_path) as running:
        running.wait_ready()
        configuring.configure(running)
        yield running


@pytest.fixture
def trusting(monkeypatch):
    """Have the trainer take in whatever it is given."""
    monkeypatch.setattr(
        trainers.Trainer, "_check", lambda trainer, samples: None
    )


def test_delivery_recorded_twice(deployment, trusting, monkeypatch):
    recorded = delivery.Delivery.recorded

    def record_twice(self, choice, *args, **kwargs):
        position = recorded(self, choice, *args, **kwargs)
        self._missing_by_step[choice.sample.step] += 1
        recorded(self, choice, *args, **kwargs)
        return position

    monkeypatch.setattr(delivery.Delivery, "recorded", record_twice)
    kept = training.train(deployment)
    records = training.records(kept, deployment.engines)
    breaches = exactly_once.ExactlyOnce().check(records)
    assert [breach.message for breach in breaches] == ["delivered 2 times"] * 2
    assert sorted(breach.requests[0] for breach in breaches) == [
        "autumn/0/g0/0",
        "autumn/0/g0/1",
    ]
