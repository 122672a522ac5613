"""What all stand-ins share, over the VM list."""

import json

from anvilwell_kernel import clock
from anvilwell_kernel import exceptions
from anvilwell_standins.base import faults
from anvilwell_standins.base import limits
from anvilwell_standins.base import record
from anvilwell_standins.keyvalue import server as keyvalue
from anvilwell_standins import vmlist
import pytest
import urllib3

VM = {"id": "a", "address": "127.0.0.1", "failure_domain": "kamnik-hall"}


@pytest.fixture
def http():
    with urllib3.PoolManager(retries=False) as pool:
        yield pool


@pytest.fixture
def standin(tmp_path):
    kept = record.Record("vmlist", tmp_path / "record.jsonl")
    with vmlist.VmList(record=kept) as started:
        yield started


def test_record_is_in_memory_in_the_file_and_at_its_address(
    standin, http, tmp_path
):
    http.request("PUT", f"{standin.url}/vms/a", json=VM)
    line = json.loads((tmp_path / "record.jsonl").read_text())
    served = http.request("GET", f"{standin.url}/record").data
    assert json.loads(served) == line == standin.record.lines("vm")[0]
    assert line["who"] == "vmlist"


def test_outage_refuses_connections_and_ends(standin, http):
    script = [{"kind": "down", "seconds": 3600}]
    http.request("POST", f"{standin.url}/faults", json=script)
    assert is_refused_at_last(http, f"{standin.url}/vms")
    standin.come_back()
    assert http.request("GET", f"{standin.url}/vms").status == 200


def is_refused_at_last(http, url):
    for _ in range(10_000):
        try:
            assert http.request("GET", url).status == 200
        except urllib3.exceptions.NewConnectionError:
            return True
        except urllib3.exceptions.HTTPError:
            continue
    return False


def test_faults_hit_the_calls_they_match(standin, http):
    script = [{"kind": "error-before-effect", "match": "PUT", "after": 1}]
    http.request("POST", f"{standin.url}/faults", json=script)
    url = f"{standin.url}/vms/a"
    statuses = [
        http.request("PUT", url, json=VM).status,
        http.request("GET", f"{standin.url}/vms").status,
        http.request("PUT", url, json=VM).status,
        http.request("PUT", url, json=VM).status,
    ]
    assert statuses == [200, 200, 502, 200]


def test_faults_can_be_cleared(standin, http):
    url = f"{standin.url}/faults"
    script = [{"kind": "error-before-effect", "count": -1}]
    assert len(http.request("POST", url, json=script).json()) == 1
    assert http.request("GET", f"{standin.url}/vms").status == 502
    assert http.request("DELETE", url).json() == []
    assert http.request("GET", f"{standin.url}/vms").status == 200


@pytest.mark.parametrize(
    "script", [[{"kind": "unknown"}], [{"kinds": "down"}], {"kind": "down"}]
)
def test_malformed_script_is_refused(standin, http, script):
    answer = http.request("POST", f"{standin.url}/faults", json=script)
    assert answer.status == 400
    assert answer.json()["error"]["verdict"] == "not-run"


def test_fault_is_used_up():
    scripted = faults.Faults(["slow"])
    scripted.add(faults.Fault("slow", after=1, count=2))
    taken = [bool(scripted.take("slow")) for _ in range(4)]
    assert taken == [False, True, True, False]
    with pytest.raises(exceptions.BadRequest):
        scripted.add(faults.Fault("fast"))


def test_bucket_tells_when_the_next_call_is_free():
    now = clock.ManualClock()
    limited = limits.TokenBucket(2.0, 1, now)
    assert limited.take() == 0.0
    assert limited.take() == 0.5
    now.advance(0.5)
    assert limited.take() == 0.0


def test_streams_leave_threads_to_other_calls(http):
    create = {"create_request": {"key": "YQ=="}}
    with keyvalue.KeyValue(threads=4) as standin:
        url = f"{standin.url}/v3/watch"
        watches = [
            http.request("POST", url, json=create, preload_content=False)
            for _ in range(4)
        ]
        statuses = [watch.status for watch in watches]
        body = {"key": "YQ=="}
        read = http.request("POST", f"{standin.url}/v3/kv/range", json=body)
        assert read.status == 200
    assert statuses == [200, 200, 200, 429]
