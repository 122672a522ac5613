"""The engine stand-in alone."""

import contextlib
import itertools
import threading

from anvilwell_standins.base import faults
from anvilwell_standins.engine import batching
from anvilwell_standins.engine import cache
from anvilwell_standins.engine import server
from anvilwell_standins.engine import streams
from anvilwell_standins.engine import text
from anvilwell_standins.engine import weights
from anvilwell_standins import weightstore
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
    engine.immediate_by_kind["tags-late"](faults.Fault("", amount=1e6))
    order(http, engine, "load", "2", 1)
    stream = http.request(
        "POST",
        f"{engine.url}/v1/completions",
        json={"prompt": "p", "stream": True, "max_tokens": 60000},
        headers={"X-Request-Id": "r"},
        preload_content=False,
        timeout=60,
    )
    stream.read1(64)
    order(http, engine, "activate", "2", 1)
    while b'"2"' not in http.request("GET", f"{engine.url}/cache/r").data:
        stream.read1(1 << 20)
    stream.close()
    lines = engine.record.wait_for("token", 2)
    assert [line["version"] for line in lines] == ["1", "2"]


def test_late_tags_are_those_of_the_version_before():
    tags = streams.TagDelay(2)
    shown = [tags.tag(batching.Piece("t", 1, version)) for version in "112222"]
    assert "".join(shown) == "111122"


def test_bad_body_has_a_clear_error(engine, http):
    answer = complete(http, engine, max_tokens=0)
    assert answer.status == 400
    assert "max_tokens" in answer.json()["error"]["message"]


def test_unknown_fault_is_refused(engine, http):
    answer = http.request("POST", f"{engine.url}/faults", json=[{"kind": "x"}])
    assert answer.status == 400
    assert "crash" in answer.json()["error"]["message"]


def test_weights_come_from_the_store_and_its_limit_is_passed_on(http):
    with weightstore.WeightStore({"planner": ["2", "3"]}, rate=0.001) as store:
        held = weights.Weights("planner", "1", store_url=store.url)
        with server.Engine(held) as engine:
            assert order(http, engine, "load", "2", 1).status == 200
            limited = order(http, engine, "load", "3", 1)
            store.immediate_by_kind["rate-limit"](faults.Fault(""))
            missing = order(http, engine, "load", "9", 1)
    assert limited.json()["error"]["reason"] == "rate-limited"
    assert int(limited.headers["Retry-After"]) > 1
    assert missing.status == 404


def test_load_is_reported_late():
    held = weights.Weights("planner", "1")
    shape = server.Shape(load_lag_s=3600.0)
    with server.Engine(held, shape) as engine, urllib3.PoolManager() as http:
        order(http, engine, "load", "2", 1)
        order(http, engine, "activate", "2", 1)
        page = http.request("GET", f"{engine.url}/metrics").data
        assert complete(http, engine).json()["versions"] == ["2"]
    assert b'version="1"' in page


def test_cache_events_are_late_and_have_gaps():
    late = cache.PrefixCache(9, lag_s=3600.0)
    gapped = cache.PrefixCache(4, gap=0.5, seed=1)
    for number in range(20):
        assert late.use(f"{number:064}") == 1
        assert gapped.use(f"{number:064}") == 1
    assert late.events(0) == []
    numbers = [event.number for event in gapped.events(0)]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < 36
    assert gapped.share() == 1.0


def test_cached_prompt_is_not_filled_again():
    held = cache.PrefixCache(9)
    assert held.use("x" * 200) == 3
    assert held.use("x" * 200 + "y" * 64) == 1


def test_lengths_have_a_tail_and_are_the_same_again():
    drawn = [
        text.length("p", 1, index, 100, tail=True) for index in range(200)
    ]
    assert drawn == [
        text.length("p", 1, index, 100, tail=True) for index in range(200)
    ]
    assert 1 <= min(drawn) < sum(drawn) / 200 < max(drawn) == 100


def test_engine_that_is_full_says_so(http):
    held = weights.Weights("planner", "1")
    with server.Engine(held, threads=2) as engine:
        url = f"{engine.url}/v1/completions"
        body = {"prompt": "p", "stream": True, "max_tokens": 60000}
        head = {"X-Request-Id": "a"}
        first = http.request(
            "POST", url, json=body, headers=head, preload_content=False
        )
        assert first.status == 200
        refused = complete(http, engine, "b")
        assert refused.status == 429
        assert refused.json()["error"]["verdict"] == "not-run"


def test_engine_closes_while_streams_keep_coming(http):
    engine = server.Engine(weights.Weights("planner", "1")).start()

    def keep_asking(name):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            for number in itertools.count():
                complete(http, engine, f"{name}-{number}", max_tokens=60000)

    threads = [
        threading.Thread(target=keep_asking, args=(name,)) for name in range(8)
    ]
    for thread in threads:
        thread.start()
    while not sum(engine._batch.counts()):
        continue
    engine.close()
    for thread in threads:
        thread.join(timeout=60)
    assert not any(thread.is_alive() for thread in threads)


def test_stream_that_begins_during_the_close_is_cut(engine):
    epoch = engine.epoch()
    engine.check_epoch(epoch)
    engine.stopped.set()
    with pytest.raises(ConnectionResetError):
        engine.check_epoch(epoch)
