"""The callers against a small fake of an entry."""

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import web
from anvilwell_standins.base import faults
from anvilwell_standins.base import record
from anvilwell_standins.base import server
from anvilwell_standins.engine import requests
from anvilwell_standins.engine import text as texts
from anvilwell_standins.programs import answers
from anvilwell_standins.programs import asks
from anvilwell_standins.programs import caller
from anvilwell_standins.programs import entries
import pytest
import werkzeug
import xxhash

PLAN = caller.Plan(
    "planner-lm", "stops-app", asks_each=6, pause_s=0.0, seconds=60
)


class FakeEntry(server.StandIn):
    """Answers as an entry does, or as it never should."""

    name = "entry-1"
    own_faults = ("cut", "error-event", "other", "refuse")

    def __init__(self):
        super().__init__()
        self.keys = []
        self.route("/v1/completions", self._complete, ("POST",))
        self.route("/services/<service>/<path:path>", self._look_up)
        self.route("/services/<service>/notices", self._notice, ("POST",))

    def _complete(self, request):
        completion = requests.parse_completion(request.get_data())
        return werkzeug.Response(
            self._events(completion),
            headers={"Anvilwell-Request-Id": "r"},
            content_type="text/event-stream",
        )

    def _events(self, completion):
        prompt = completion.prompt
        if self.faults.take("other"):
            prompt = "another"
        text = texts.text(prompt, completion.seed, 0, completion.max_tokens)
        yield event(text, None)
        if self.faults.take("cut"):
            return
        if self.faults.take("error-event"):
            yield (
                b'data: {"error": {"verdict": "may-have-run", '
                b'"reason": "backend-failed"}}\n\n'
            )
            return
        yield event("", "length")
        yield b"data: [DONE]\n\n"

    def _look_up(self, request, service, path):
        digest = xxhash.xxh64_hexdigest(path.encode())
        return web.json_response({"value": digest})

    def _notice(self, request, service):
        self.keys.append(request.headers["Idempotency-Key"])
        if self.faults.take("refuse"):
            raise exceptions.Refused(
                "busy", reason=reasons.Refusal.OVERLOADED, retry_after=0.01
            )
        digest = xxhash.xxh64_hexdigest(request.get_data())
        return web.json_response({"accepted": digest})


def event(text, reason):
    body = web.json_response(
        {"choices": [{"text": text, "index": 0, "finish_reason": reason}]}
    )
    return b"data: " + body.get_data() + b"\n\n"


@pytest.fixture
def entry():
    with FakeEntry() as started:
        yield started


def run(entry, plan=PLAN):
    names = entries.Entries([entries.Entry("entry-1", entry.address)])
    program = caller.Callers(plan, names, record.Record("caller"))
    return program, program.run()


def only(kind):
    return tuple(int(one == kind) for one in asks.Kind)


def test_every_ask_has_one_answer(entry):
    program, tally = run(entry)
    asked = program._record.lines("ask")
    answered = program._record.lines("answer")
    assert len(asked) == len({line["ask"] for line in asked}) == 24
    assert {one["ask"] for one in asked} == {one["ask"] for one in answered}
    assert not tally.wrong
    assert sum(tally.outcomes.values()) == 24
    assert any(", p50 " in line for line in tally.lines())


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [("cut", "cut, status 200"), ("error-event", "backend-failed")],
)
def test_stream_without_its_end_is_not_whole(entry, kind, outcome):
    entry.faults.add(faults.Fault(kind))
    plan = PLAN._replace(callers=1, asks_each=1, weights=only("stream"))
    _, tally = run(entry, plan)
    assert tally.outcomes == {f"stream {outcome}": 1, "stream whole": 1}


def test_answer_of_another_is_wrong(entry):
    entry.faults.add(faults.Fault("other"))
    plan = PLAN._replace(callers=1, asks_each=1, weights=only("stream"))
    _, tally = run(entry, plan)
    assert tally.wrong == ["caller-0-1"]
    assert "WRONG ANSWERS: caller-0-1" in tally.lines()


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [("refuse", "overloaded"), ("lost-after-effect", "lost")],
)
def test_failed_notice_is_repeated_with_its_key(entry, kind, outcome):
    entry.faults.add(faults.Fault(kind))
    plan = PLAN._replace(callers=1, asks_each=1, weights=only("notice"))
    _, tally = run(entry, plan)
    assert tally.outcomes == {f"notice {outcome}": 1, "notice whole": 1}
    assert entry.keys == ["key-caller-0-1", "key-caller-0-1"]


def test_lost_answer_has_status_0(entry):
    entry.close()
    ask = asks.AskMaker("c", "m", "p", 4).make(asks.Kind.LOOKUP, _Rng())
    target = entries.Entry("entry-1", entry.address)
    answer = answers.send(
        entries.Entries([target]), target, ask, deadline_s=5, headers={}
    )
    assert answer.status == 0
    assert not answer.whole


class _Rng:
    def randrange(self, stop):
        return 0
