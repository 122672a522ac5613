"""Steps and calls whole though daemons and systems around them fail."""

from concurrent import futures
import socket

from anvilwell_bench.audit.promises import exactly_once
from anvilwell_bench.audit.promises import own_answer
from anvilwell_bench.audit.promises import staleness
from anvilwell_bench.audit.promises import versions
import configuring
import deployment as deployments
import pytest
import training

# No new version: one waits for a dead daemon until its VM is known gone.
PLAN = training.PLAN._replace(
    groups=8, samples=4, max_tokens=60, version_every=9, limit_s=30.0
)
SAMPLES = 32
CHANGED_STOPS = configuring.STOPS.replace("max_queue = 64", "max_queue = 32")
TRAINING_PROMISES = (
    versions.VersionsTrue(),
    staleness.StalenessBound(),
    exactly_once.ExactlyOnce(),
    own_answer.OwnWholeAnswer(),
)


@pytest.fixture
def deployment(tmp_path):
    with deployments.Deployment(tmp_path, entries=2) as running:
        running.wait_ready()
        configuring.configure(running)
        yield running


@pytest.fixture
def pool():
    with futures.ThreadPoolExecutor(4) as threads:
        yield threads


def holder(deployment):
    """Return the entry that holds the runs, or None."""
    for entry in deployment.entries:
        if entry.kernel.get("runs").holds("planner-lm"):
            return entry
    return None


def begin_step(deployment, pool):
    """Begin to train; return when every engine generates."""
    deployments.wait_until(lambda: holder(deployment))
    training_end = pool.submit(training.train, deployment, PLAN)
    for engine in deployment.engines:
        engine.record.wait_for("token", 8)
    return training_end


def check_whole(deployment, training_end):
    kept = training_end.result(deployments.LIMIT_S)
    records = training.records(kept, deployment.engines)
    for promise in TRAINING_PROMISES:
        assert promise.check(records) == [], promise.name
    assert len(training.samples(kept)) == SAMPLES


def test_engine_crashes_and_the_holder_leaves(deployment, pool):
    training_end = begin_step(deployment, pool)
    deployment.engines[0].crash(60.0)
    leaving = holder(deployment)
    leaving.begin_drain().result(deployments.LIMIT_S)
    check_whole(deployment, training_end)
    assert holder(deployment) is not leaving


def test_the_holder_is_killed(deployment, pool):
    training_end = begin_step(deployment, pool)
    holder(deployment).kill()
    check_whole(deployment, training_end)


def test_an_agent_is_killed(deployment, pool):
    training_end = begin_step(deployment, pool)
    deployment.agents[0].kill()
    check_whole(deployment, training_end)


def test_the_key_value_service_is_down_for_longer_than_a_lease(
    deployment, pool
):
    training_end = begin_step(deployment, pool)
    deployment.keyvalue.go_down(deployments.LIMIT_S)
    deployments.wait_until(lambda: holder(deployment) is None)
    lookup = call(deployment, "GET", "stops/1")
    notice = call(
        deployment,
        "POST",
        "notices",
        body=b"bus 4 is late",
        headers={"Idempotency-Key": "in-outage"},
    )
    change = ("stops-app", CHANGED_STOPS, "in-outage", 1)
    refused = configuring.put(deployment, *change).json()
    deployment.keyvalue.come_back()
    assert lookup.status == 200
    assert notice.status == 503
    assert notice.headers["Anvilwell-Verdict"] == "not-run"
    assert not deployment.plains[0].record.lines("run")
    assert refused["outcome"] in ("refused", "unknown")
    check_whole(deployment, training_end)
    again = configuring.put(deployment, *change).json()
    assert (again["outcome"], again["generation"]) == ("in-force", 2)


def call(deployment, method, path, **options):
    url = f"{deployment.entries[0].url}/services/stops-app/{path}"
    return deployment.http.request(method, url, timeout=30, **options)


def test_a_socket_that_another_thread_closes_has_no_port():
    one = socket.socket(socket.AF_INET)
    one.close()

    assert deployments._port(one) is None
