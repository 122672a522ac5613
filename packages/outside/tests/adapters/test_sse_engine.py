"""Tests of the engine adapter against the engine stand-in."""

from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import sse_engine
from anvilwell_outside.ports import engine as ports
from anvilwell_standins.base import faults
from anvilwell_standins.base import server as standins
from anvilwell_standins.engine import server
from anvilwell_standins.engine import text
from anvilwell_standins.engine import weights
import pytest
import werkzeug

WAIT_S = 20.0
BODY = {"prompt": "p", "max_tokens": 8, "seed": 1}
LONG = {"prompt": "p", "max_tokens": 20000}
TEXT = text.text("p", 1, 0, 8)


@pytest.fixture
def standin():
    held = weights.Weights("planner", "1")
    with server.Engine(held, server.Shape(token_s=0.002)) as started:
        yield started


@pytest.fixture
def engine(standin):
    adapter = sse_engine.SseEngine(http_client.HttpClient(standin.address))
    yield adapter
    adapter.close()


def generate(engine, attempt_id="a", body=BODY):
    return list(engine.generate(attempt_id, body, timeout_s=WAIT_S))


def test_complete_stream_ends_with_a_finish(engine):
    *tokens, finish = generate(engine)
    assert "".join(piece.text for piece in tokens) == TEXT
    assert {piece.version for piece in tokens} == {"1"}
    assert finish == ports.Finish("length", 8)


def test_truncated_stream_raises_and_has_no_finish(engine, standin):
    standin.faults.add(faults.Fault("cut", amount=3))
    pieces = []
    with pytest.raises(exceptions.BackendFailed) as caught:
        for piece in engine.generate("a", BODY, timeout_s=WAIT_S):
            pieces.append(piece)
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
    assert TEXT.startswith("".join(piece.text for piece in pieces))
    assert not any(isinstance(piece, ports.Finish) for piece in pieces)


def test_connection_refused_after_a_crash_has_not_run(engine, standin):
    crash = faults.Fault("crash", amount=2, seconds=30)
    standin.immediate_by_kind["crash"](crash)
    with pytest.raises(exceptions.BackendFailed):
        generate(engine)
    for _ in range(1000):
        with pytest.raises(exceptions.AnvilwellError) as caught:
            generate(engine)
        if caught.value.verdict == verdict.Verdict.NOT_RUN:
            break
    assert caught.value.verdict == verdict.Verdict.NOT_RUN


def test_server_error_may_have_run(engine, standin):
    standin.faults.add(faults.Fault("error-after-run"))
    with pytest.raises(exceptions.BackendFailed) as caught:
        generate(engine)
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
    assert standin.record.lines("finish")[0]["tokens"] == 8


def test_hung_engine_times_out(engine, standin):
    standin.immediate_by_kind["stuck"](faults.Fault("stuck"))
    with pytest.raises(exceptions.Timeout):
        list(engine.generate("a", BODY, timeout_s=0.2))


def test_cancel_frees_the_slot(engine):
    stream = engine.generate("a", LONG, timeout_s=WAIT_S)
    next(stream)
    engine.cancel("nobody", timeout_s=WAIT_S)
    engine.cancel("a", timeout_s=WAIT_S)
    assert list(stream)[-1].reason == "cancelled"
    assert engine.load(timeout_s=WAIT_S).running == 0


def test_closing_the_stream_frees_the_slot(engine, standin):
    stream = engine.generate("a", LONG, timeout_s=WAIT_S)
    next(stream)
    stream.close()
    assert standin.record.wait_for("finish")[0]["reason"] == "cut"
    assert engine.load(timeout_s=WAIT_S).running == 0


def test_stream_resumes_elsewhere_from_its_cache(engine):
    stream = engine.generate("a", LONG, timeout_s=WAIT_S)
    first = next(stream)
    data = engine.export_cache("a", timeout_s=WAIT_S)
    engine.cancel("a", timeout_s=WAIT_S)
    stream.close()
    shape = server.Shape(tokens_per_tick=5000)
    resumed = {**LONG, "resume": {"tokens": first.count}}
    with server.Engine(weights.Weights("planner", "1"), shape) as other:
        adapter = sse_engine.SseEngine(http_client.HttpClient(other.address))
        adapter.import_cache("b", data, timeout_s=WAIT_S)
        *rest, _ = generate(adapter, "b", resumed)
        adapter.close()
    pieces = [first, *rest]
    assert "".join(piece.text for piece in pieces) == text.text(
        "p", 0, 0, LONG["max_tokens"]
    )


def test_resume_without_an_exported_cache_has_not_run(engine):
    body = {"prompt": "p", "resume": {"tokens": 2}}
    with pytest.raises(exceptions.Conflict) as caught:
        generate(engine, "a", body)
    assert caught.value.verdict == verdict.Verdict.NOT_RUN


def test_orders_are_executed_and_fenced(engine):
    engine.order(ports.Order("load", "2", 5), timeout_s=WAIT_S)
    engine.order(ports.Order("activate", "2", 5), timeout_s=WAIT_S)
    assert engine.load(timeout_s=WAIT_S).version == "2"
    with pytest.raises(exceptions.Fenced):
        engine.order(ports.Order("activate", "1", 4), timeout_s=WAIT_S)
    with pytest.raises(exceptions.Conflict):
        engine.order(ports.Order("activate", "9", 5), timeout_s=WAIT_S)


def test_failed_swap_is_an_error(engine, standin):
    standin.faults.add(faults.Fault("swap-failed"))
    with pytest.raises(exceptions.BackendFailed):
        engine.order(ports.Order("activate", "1", 1), timeout_s=WAIT_S)


def test_cache_events_follow_the_prompts(engine):
    body = {"prompt": "x" * 200, "max_tokens": 1}
    generate(engine, "a", body)
    events = engine.events(0, timeout_s=WAIT_S)
    assert [event.number for event in events] == [1, 2, 3]
    assert engine.events(3, timeout_s=WAIT_S) == []


class InvalidStreamEngine(standins.StandIn):
    """Engine that streams the given events, valid or not."""

    name = "engine"

    def __init__(self, *events):
        super().__init__()
        lines = [f"data: {event}\n\n".encode() for event in events]
        self.route(
            "/v1/completions",
            lambda request: werkzeug.Response(
                iter(lines), content_type="text/event-stream"
            ),
            ("POST",),
        )


TEXT_EVENT = (
    '{"choices": [{"text": "a", "finish_reason": "stop"}],'
    ' "version": "1", "tokens": 1}'
)


@pytest.mark.parametrize(
    "events",
    [
        [],
        [TEXT_EVENT],
        ["[DONE]"],
        ["not JSON", "[DONE]"],
        ['{"choices": []}', "[DONE]"],
        ['{"choices": [{"text": "a"}], "version": "1"}', "[DONE]"],
        ['{"choices": [{"text": "a"}], "tokens": 1}', "[DONE]"],
        [TEXT_EVENT.replace('"tokens": 1', '"tokens": -1'), "[DONE]"],
        [TEXT_EVENT.replace('"stop"', "null"), "[DONE]"],
    ],
)
def test_invalid_stream_is_an_error(events):
    with InvalidStreamEngine(*events) as standin:
        adapter = sse_engine.SseEngine(http_client.HttpClient(standin.address))
        with pytest.raises(exceptions.BackendFailed) as caught:
            generate(adapter)
        adapter.close()
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
