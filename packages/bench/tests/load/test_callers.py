import json

from anvilwell_bench.audit import reader
from anvilwell_bench.audit import report
from anvilwell_bench.audit import texts
from anvilwell_bench.load import caller
from anvilwell_bench.load import live
from anvilwell_bench.load import prober
from anvilwell_bench.load import recorder
from anvilwell_kernel import exceptions
from anvilwell_kernel import web
import pytest
import werkzeug

PROMPT = "draft a route to Kamnik"


def event(body):
    return f"data: {json.dumps(body)}\n\n".encode()


def token_event(place):
    text = texts.token(PROMPT, 1, 0, place)
    return event({"choices": [{"text": text}], "version": "7", "tokens": 1})


class FakeEntry:
    """Answers with scripted streams, one after the other."""

    def __init__(self):
        self.streams = []
        self.requests = []
        self.server = web.WebServer("127.0.0.1", 0)
        self.server.route("/v1/completions", self.complete, ("POST",))
        self.server.route("/services/stops-app/notices", self.run, ("POST",))
        self.server.route("/admin/services/<service>", self.show)

    def complete(self, request):
        self.requests.append(request.get_json())
        stream = self.streams.pop(0)
        if isinstance(stream, Exception):
            raise stream
        return werkzeug.Response(stream, content_type="text/event-stream")

    def run(self, request):
        self.requests.append(request.headers["Idempotency-Key"])
        if len(self.requests) == 1:
            raise exceptions.LinkLost("the link broke")
        return web.json_response({"accepted": True}, 201)

    def show(self, request, service):
        if service != "planner-lm":
            raise exceptions.NotFound("no such service")
        return web.json_response({"generation": 4})


@pytest.fixture
def entry():
    fake = FakeEntry()
    fake.server.serve_in_thread()
    yield fake
    fake.server.close()


@pytest.fixture
def setting(entry, tmp_path):
    url = "http://{}:{}".format(*entry.server.address)
    record = recorder.Recorder("caller", tmp_path / "caller.jsonl")
    one = caller.Caller("c", [caller.Entry("entry-1", url)], record)
    return entry, one, tmp_path


def draft():
    return caller.Ask(
        "planner-lm",
        "POST",
        "/v1/completions",
        prompt=PROMPT,
        seed=1,
        max_tokens=3,
    )


def test_whole_stream(setting):
    entry, one, folder = setting
    tokens = [token_event(place) for place in range(3)]
    entry.streams = [[*tokens, b"data: [DONE]\n\n"]]
    answer = one.send(one.next_name(), draft())
    assert (answer.status, answer.whole) == (200, True)
    assert answer.text == texts.text(PROMPT, 1, 0, 3)
    assert entry.requests[0]["stream"]
    line = reader.read(folder).of("answer")[0]
    assert (line["ask"], line["text"]) == ("c-1", answer.text)


def test_error_in_mid_stream_is_not_whole(setting):
    entry, one, _folder = setting
    error = {"verdict": "may-have-run", "reason": "answer-cut"}
    entry.streams = [[token_event(0), event({"error": error})]]
    answer = one.send(one.next_name(), draft())
    assert not answer.whole
    assert (answer.verdict, answer.reason) == ("may-have-run", "answer-cut")


def test_stream_without_its_end_is_not_whole(setting):
    entry, one, folder = setting
    entry.streams = [[token_event(0)]]
    answer = one.send(one.next_name(), draft())
    assert (answer.status, answer.whole, answer.verdict) == (200, False, "")
    breaches = report.audit(reader.read(folder)).breaches
    assert [breach.promise for breach in breaches] == ["own-answer"]


def test_refusal(setting):
    entry, one, _folder = setting
    entry.streams = [exceptions.Refused("busy", retry_after=2.0)]
    answer = one.send(one.next_name(), draft())
    assert (answer.status, answer.verdict) == (503, "not-run")
    assert answer.retry_after_s == 2.0


def test_unreachable_entry_is_recorded_and_avoided(setting):
    entry, one, folder = setting
    gone = caller.Entry("gone", "http://127.0.0.1:1")
    one = caller.Caller(
        "d",
        [gone, *one._entries],
        recorder.Recorder("caller", folder / "caller.jsonl"),
    )
    entry.streams = [[b"data: [DONE]\n\n"]] * 2
    answers = [one.send(one.next_name(), draft()) for _ in range(3)]
    assert sorted(answer.status for answer in answers) == [0, 200, 200]
    lost = [line for line in answers if not line.status]
    assert lost[0].reason == "connect-failed"


def test_notice_is_sent_again_with_its_key(setting):
    entry, one, folder = setting
    ask = caller.Ask(
        "stops-app",
        "POST",
        "/services/stops-app/notices",
        key="k1",
        idempotent=False,
        body="bus 4 leaves at 7.10",
    )
    assert one.send_notice(ask).whole
    assert entry.requests == ["k1", "k1"]
    lines = reader.read(folder).of("ask")
    assert {line["path"] for line in lines} == {"/notices"}


def test_live_callers_record_every_ask(setting):
    _entry, _one, folder = setting
    record = recorder.Recorder("live", folder / "live.jsonl")
    load = live.Load(
        "planner-lm", "stops-app", callers=2, pause_s=0.001, max_tokens=3
    )
    target = caller.Entry("entry-1", "http://127.0.0.1:1")
    callers = live.LiveCallers(load, [target], record)
    asked = callers._ask

    def ask_and_stop(one, rng):
        callers.stop()
        asked(one, rng)

    callers._ask = ask_and_stop
    callers.run()
    records = reader.read(folder)
    names = {line["ask"] for line in records.of("ask")}
    assert names == {line["ask"] for line in records.of("answer")}
    assert names


def test_probe_records_the_generation(setting):
    entry, _one, folder = setting
    host, port = entry.server.address
    daemons = [
        prober.Probed("entry-1", f"http://{host}:{port}"),
        prober.Probed("gone", "http://127.0.0.1:1"),
    ]
    record = recorder.Recorder("prober", folder / "prober.jsonl")
    prober.Prober(daemons, ["planner-lm", "stops-app"], record).probe()
    (line,) = reader.read(folder).of("probe")
    assert (line["daemon"], line["generation"]) == ("entry-1", 4)
