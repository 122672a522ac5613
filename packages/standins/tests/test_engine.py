"""The engine stand-in alone."""

from anvilwell_standins.base import faults
from anvilwell_standins.engine import batching
from anvilwell_standins.engine import server
from anvilwell_standins.engine import text
from anvilwell_standins.engine import weights
import pytest
import urllib3

FAST = server.Shape(token_s=0.001)


@pytest.fixture
def engine():
    with server.Engine(weights.Weights("planner", "1"), FAST) as standin:
        yield standin


@pytest.fixture
def http(engine):
    with urllib3.PoolManager(retries=False) as pool:
        yield pool


def complete(http, engine, request_id="r1", **fields):
    body = {"prompt": "Kamnik", "max_tokens": 5, **fields}
    headers = {"X-Request-Id": request_id}
    url = f"{engine.url}/v1/completions"
    return http.request("POST", url, json=body, headers=headers, timeout=10)


def order(http, engine, kind, argument, fencing):
    body = {"kind": kind, "argument": argument, "fencing": fencing}
    return http.request("POST", f"{engine.url}/orders", json=body, timeout=10)


def test_text_depends_on_prompt_seed_and_index_alone(engine, http):
    answer = complete(http, engine, seed=3, index=1).json()
    choice = answer["choices"][0]
    assert choice["text"] == text.text("Kamnik", 3, 1, 5)
    assert choice["finish_reason"] == "length"
    assert answer["versions"] == ["1"]


def test_slots_bound_what_runs():
    batch = batching.Batch(2, 0.001, 1, lambda: None)
    batch.start()
    for number in range(5):
        sample = batching.Sample(f"r{number}", "p", 0, 0, 0, 9, "length")
        assert batch.submit(batching.Run(sample, 0.0))
        assert not batch.submit(batching.Run(sample, 0.0))
    while batch.counts() != (2, 3):
        continue
    batch.cancel("r0")
    while batch.counts() != (2, 2):
        continue
    batch.stop()


def test_swap_is_tagged_token_by_token(engine, http):
    assert order(http, engine, "load", "2", 1).status == 200
    assert order(http, engine, "activate", "2", 1).status == 200
    assert complete(http, engine).json()["versions"] == ["2"]
    assert [line["version"] for line in engine.record.lines("swap")] == ["2"]


def test_old_fencing_number_is_refused(engine, http):
    order(http, engine, "load", "2", 7)
    refused = order(http, engine, "activate", "2", 6)
    assert refused.status == 409
    assert refused.json()["error"]["reason"] == "fenced"


def test_engine_that_ignores_fencing_takes_old_numbers():
    held = weights.Weights("planner", "1", check_fencing=False)
    with server.Engine(held) as engine, urllib3.PoolManager() as http:
        order(http, engine, "load", "2", 7)
        assert order(http, engine, "activate", "2", 6).status == 200


def test_version_that_is_not_loaded_is_refused(engine, http):
    assert order(http, engine, "activate", "9", 1).status == 409


def test_silent_swap_failure_shows_in_the_tags(engine, http):
    engine.faults.add(faults.Fault("swap-failed", mode="silent"))
    order(http, engine, "load", "2", 1)
    assert order(http, engine, "activate", "2", 1).status == 200
    assert complete(http, engine).json()["versions"] == ["1"]


def test_record_keeps_the_true_version_when_tags_are_late(engine, http):
    engine.immediate_by_kind["tags-late"](faults.Fault("tags-late", amount=9))
    order(http, engine, "load", "2", 1)
    engine.immediate_by_kind["slow-tokens"](
        faults.Fault("slow-tokens", amount=20, seconds=0.1)
    )
    stream = http.request(
        "POST",
        f"{engine.url}/v1/completions",
        json={"prompt": "p", "stream": True, "max_tokens": 12},
        headers={"X-Request-Id": "r"},
        preload_content=False,
    )
    head = stream.read1(64)
    order(http, engine, "activate", "2", 1)
    shown = (head + stream.read()).count(b'"version": "1"')
    true = {
        line["version"]: line["count"] for line in engine.record.lines("token")
    }
    assert true["2"] > 0
    assert shown > true["1"]


def test_bad_body_has_a_clear_error(engine, http):
    answer = complete(http, engine, max_tokens=0)
    assert answer.status == 400
    assert "max_tokens" in answer.json()["error"]["message"]


def test_unknown_fault_is_refused(engine, http):
    answer = http.request("POST", f"{engine.url}/faults", json=[{"kind": "x"}])
    assert answer.status == 400
    assert "crash" in answer.json()["error"]["message"]
