"""Tests of the smaller adapters against their stand-ins."""

import typing

from anvilwell_kernel import clock
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict
from anvilwell_outside.adapters import http_plain
from anvilwell_outside.adapters import http_scorer
from anvilwell_outside.adapters import http_vmlist
from anvilwell_outside.adapters import http_weightstore
from anvilwell_outside.ports import plain as plain_ports
from anvilwell_outside.ports import vmlist as vmlist_ports
from anvilwell_standins.base import faults
from anvilwell_standins import plain
from anvilwell_standins import scorer
from anvilwell_standins import vmlist
from anvilwell_standins import weightstore
import pytest
import urllib3

WAIT_S = 20.0


class Section(typing.NamedTuple):
    endpoints: tuple = ()
    backend: str = ""


def adapt(kind, *standins):
    addresses = tuple(standin.address for standin in standins)
    return kind.from_config(Section(addresses, addresses[0]))


def test_vm_list_returns_what_its_lagging_server_lists():
    vms = [vmlist.Vm("a", "127.0.0.1", "kamnik-hall")]
    with vmlist.VmList(vms) as standin:
        adapter = adapt(http_vmlist.HttpVmList, standin)
        standin.immediate_by_kind["lag"](faults.Fault("lag", seconds=3600))
        standin.change(vmlist.Vm("a", "127.0.0.1", "kamnik-hall", "leaving"))
        assert adapter.vms(timeout_s=WAIT_S)["a"].state == "live"
        standin.immediate_by_kind["lag"](faults.Fault("lag"))
        assert adapter.vms(timeout_s=WAIT_S) == {
            "a": vmlist_ports.Vm("a", "127.0.0.1", "kamnik-hall", "leaving")
        }
        adapter.close()


def test_weight_store_lists_versions_and_limits_downloads():
    now = clock.ManualClock()
    store = weightstore.WeightStore(
        {"planner": ["1"]}, rate=1, burst=2, clock=now
    )
    with store as standin, urllib3.PoolManager() as http:
        base = f"{standin.url}/models/planner/versions"
        http.request("PUT", f"{base}/2")
        adapter = adapt(http_weightstore.HttpWeightStore, standin)
        assert adapter.versions("planner", timeout_s=WAIT_S) == ["1", "2"]
        assert adapter.has("planner", "2", timeout_s=WAIT_S)
        assert not adapter.has("planner", "3", timeout_s=WAIT_S)
        url = f"{base}/2/weights"
        answers = [http.request("GET", url, retries=False) for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert answers[-1].headers["Retry-After"] == "1"
        now.advance(2)
        assert http.request("GET", url, retries=False).status == 200
        assert http.request("GET", f"{base}/9/weights").status == 404
        adapter.close()


def test_unreachable_address_is_skipped():
    dead = vmlist.VmList()
    with vmlist.VmList() as live:
        adapter = adapt(http_vmlist.HttpVmList, dead, live)
        assert adapter.vms(timeout_s=WAIT_S) == {}
        assert adapter.vms(timeout_s=WAIT_S) == {}
        adapter.close()
    dead.close()


@pytest.fixture
def scores():
    with scorer.Scorer() as standin:
        yield standin


def test_scores_are_matched_by_id(scores):
    adapter = adapt(http_scorer.HttpScorer, scores)
    scores.faults.add(faults.Fault("double"))
    found = adapter.score({"a": "x", "b": "y"}, timeout_s=WAIT_S)
    assert {key: one.value for key, one in found.items()} == {
        "a": scorer.score("x"),
        "b": scorer.score("y"),
    }
    adapter.close()


@pytest.mark.parametrize("kind", ["missing", "differing"])
def test_missing_or_contradictory_scores_are_an_error(scores, kind):
    adapter = adapt(http_scorer.HttpScorer, scores)
    scores.faults.add(faults.Fault(kind))
    with pytest.raises(exceptions.BackendFailed):
        adapter.score({"a": "x"}, timeout_s=WAIT_S)
    adapter.close()


@pytest.fixture
def service():
    with plain.Plain() as standin:
        yield standin


def notify(adapter, key="k"):
    headers = [("Idempotency-Key", key), ("Connection", "close")]
    request = plain_ports.Request("POST", "/notices", headers, b"bus 7")
    response = adapter.call(request, timeout_s=WAIT_S)
    return response, b"".join(response.chunks)


def test_plain_call_reaches_the_service(service):
    adapter = adapt(http_plain.HttpPlain, service)
    response, body = notify(adapter)
    assert response.status == 201
    assert b"accepted" in body
    names = {name.lower() for name, _ in response.headers}
    assert not names & {"connection", "transfer-encoding"}
    assert service.record.lines("run")[0]["key"] == "k"
    adapter.close()


@pytest.mark.parametrize(
    ("kind", "ran"), [("lost-before-effect", 0), ("lost-after-effect", 1)]
)
def test_plain_call_with_lost_response_may_have_run(service, kind, ran):
    adapter = adapt(http_plain.HttpPlain, service)
    service.faults.add(faults.Fault(kind))
    with pytest.raises(exceptions.BackendFailed) as caught:
        notify(adapter)
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
    assert len(service.record.lines("run")) == ran
    adapter.close()


def test_server_error_after_the_run_is_returned(service):
    adapter = adapt(http_plain.HttpPlain, service)
    service.faults.add(faults.Fault("error-after-effect"))
    response, _ = notify(adapter)
    assert response.status == 502
    assert len(service.record.lines("run")) == 1
    adapter.close()


def test_call_to_a_stopped_service_has_not_run(service):
    adapter = adapt(http_plain.HttpPlain, service)
    service.close()
    with pytest.raises(exceptions.BackendFailed) as caught:
        notify(adapter)
    assert caught.value.verdict == verdict.Verdict.NOT_RUN
    adapter.close()
