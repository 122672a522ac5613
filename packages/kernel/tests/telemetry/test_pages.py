"""Tests of the pages for metrics, liveness and readiness."""

import asyncio

import pytest
import urllib3

from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import pages


class FakeService(services.Service):
    name = "part"
    ready = False

    def is_ready(self):
        return self.ready


@pytest.fixture
def kernel():
    return services.Kernel([FakeService()])


@pytest.fixture
def get(serve, kernel):
    server = serve()
    pages.Pages(kernel).add_to(server)
    host, port = server.address

    def fetch(path):
        return urllib3.request(
            "GET", f"http://{host}:{port}{path}", timeout=20.0, retries=False
        )

    return fetch


def test_every_reason_is_listed_before_it_occurs(get):
    text = get("/metrics").data.decode()

    for name, kind in (
        ("anvilwell_refusals", reasons.Refusal),
        ("anvilwell_retries", reasons.Retry),
    ):
        for reason in kind:
            assert f'{name}_total{{reason="{reason}",service=""' in text


def test_histograms_have_buckets_for_their_unit(get):
    counters.record_response("GET /x", 200, 0.003)

    text = get("/metrics").data.decode()

    assert 'anvilwell_http_duration_seconds_bucket{le="0.005"' in text
    assert 'le="300.0"' in text


def test_health(get):
    assert get("/healthz").json() == {"alive": True}


def test_readiness_names_the_unready_services(get, kernel):
    answer = get("/readyz")

    assert answer.status == 503
    assert answer.json()["unready"] == ["part"]

    kernel.get("part").ready = True
    assert get("/readyz").status == 200


def test_draining_process_is_not_ready(get, kernel):
    kernel.get("part").ready = True

    asyncio.run(kernel.drain())

    assert get("/readyz").json()["draining"]
    assert get("/readyz").status == 503
