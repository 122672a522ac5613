"""Callers' requests through an entry and agents on real sockets."""

import asyncio
import json
import threading

import pytest
import urllib3

WHOLE = "t0 t1 t2 t3 t4 "


def _texts(data):
    events = data.decode().strip().split("\n\n")
    bodies = [json.loads(e[6:]) for e in events if not e.endswith("[DONE]")]
    texts = [b["choices"][0]["text"] for b in bodies if "choices" in b]
    return "".join(texts), bodies, events[-1]


def test_stream_is_whole(rig, scripted_engine):
    rig.engine_agent(scripted_engine())
    rig.start_entry()
    answer = rig.complete(stream=True)
    text, _, last = _texts(answer.data)
    assert answer.status == 200
    assert text == WHOLE
    assert last == "data: [DONE]"


def test_json_is_whole_and_names_versions(rig, scripted_engine):
    rig.engine_agent(scripted_engine())
    rig.start_entry()
    body = rig.complete().json()
    assert body["choices"][0]["text"] == WHOLE
    assert body["versions"] == ["7"]
    assert body["usage"] == {"completion_tokens": 5}


def test_async_twin(rig, scripted_engine):
    rig.engine_agent(scripted_engine())
    rig.start_entry()
    call = rig.call(
        service="planner-lm", body=b'{"max_tokens": 5}', is_model=True
    )

    async def collect():
        answer = await rig.dispatcher.open_async(call)
        return [piece async for piece in answer], answer.finish

    pieces, finish = rig.run(collect())
    assert b"".join(piece.data for piece in pieces).decode() == WHOLE
    assert {piece.version for piece in pieces} == {"7"}
    assert finish == "length"


def test_cancelled_async_reader_cancels_the_engine(rig, scripted_engine):
    gate = threading.Event()
    engine = scripted_engine(lambda place: place < 3 or gate.wait(20))
    rig.engine_agent(engine)
    rig.start_entry()
    call = rig.call(
        service="planner-lm", body=b'{"max_tokens": 5}', is_model=True
    )

    async def read(kept):
        kept.append(await rig.dispatcher.open_async(call))
        return [piece async for piece in kept[0]]

    async def scenario():
        kept = []
        task = asyncio.create_task(read(kept))
        while engine.produced < 3 or not kept:
            await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return kept

    kept = rig.run(scenario())
    assert engine.cancelled.wait(20)
    gate.set()
    rig.until(lambda: not rig.agents[0].in_flight)
    assert kept


def test_many_streams_keep_their_own_answers(rig, scripted_engine):
    for _ in range(2):
        rig.engine_agent(scripted_engine(), capacity=16, max_queue=64)
    rig.start_entry(threads=32)
    answers_by_size = {}

    def ask(size):
        answer = rig.complete(max_tokens=size, stream=True)
        answers_by_size[size] = _texts(answer.data)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(1, 33)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for size in range(1, 33):
        text, _, last = answers_by_size[size]
        assert text == "".join(f"t{place} " for place in range(size))
        assert last == "data: [DONE]"


def test_slow_reader_stops_the_engine(rig, scripted_engine):
    engine = scripted_engine()
    rig.engine_agent(engine)
    rig.start_entry()
    call = rig.call(
        service="planner-lm", body=b'{"max_tokens": 2000000}', is_model=True
    )
    answer = rig.dispatcher.open(call)
    next(answer)
    rig.until(lambda: rig.agents[0].stalled)
    # 80 KB of text at most wait between the engine and this reader.
    assert engine.produced < 200_000
    answer.close()
    assert engine.cancelled.wait(20)


def test_caller_that_leaves_cancels_the_engine(rig, scripted_engine):
    gate = threading.Event()
    engine = scripted_engine(lambda place: place < 5 or gate.wait(0.01))
    rig.engine_agent(engine)
    rig.start_entry()
    host, port = rig.server.address
    pool = urllib3.HTTPConnectionPool(host, port)
    response = pool.urlopen(
        "POST",
        "/v1/completions",
        body=b'{"model": "planner-lm", "max_tokens": 100000, "stream": true}',
        preload_content=False,
    )
    response.read1()
    response.close()
    pool.close()
    assert engine.cancelled.wait(20)
    rig.until(lambda: not rig.callers.in_flight)
    rig.until(lambda: not rig.agents[0].in_flight)


def test_drain_cuts_nothing_off(rig, scripted_engine):
    gate = threading.Event()
    engine = scripted_engine(lambda place: place < 3 or gate.wait(20))
    rig.engine_agent(engine)
    entry = rig.start_entry()
    answers = []
    asker = threading.Thread(
        target=lambda: answers.append(rig.complete(stream=True))
    )
    asker.start()
    rig.until(lambda: engine.produced >= 3)
    drains = [
        threading.Thread(target=rig.run, args=(kernel.drain(),))
        for kernel in (entry, rig.agents[0].kernel)
    ]
    for drain in drains:
        drain.start()
    rig.until(lambda: not rig.agents[0].is_ready())
    assert rig.callers.in_flight
    gate.set()
    for thread in (asker, *drains):
        thread.join()
    text, _, last = _texts(answers[0].data)
    assert (text, last) == (WHOLE, "data: [DONE]")


@pytest.mark.parametrize(
    "headers",
    [
        {"Anvilwell-Deadline-Ms": "soon"},
        {"Anvilwell-Priority": "highest"},
        {"Idempotency-Key": "k" * 300},
    ],
)
def test_bad_headers_are_refused(rig, headers):
    rig.start_entry()
    answer = rig.complete(headers=headers)
    assert answer.status == 400
    assert answer.headers["Anvilwell-Verdict"] == "not-run"


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"model": ""}', b"{}"])
def test_bad_bodies_are_refused(rig, body):
    rig.start_entry()
    answer = rig.request("POST", "/v1/completions", body=body)
    assert answer.status == 400
    assert answer.json()["error"]["verdict"] == "not-run"
