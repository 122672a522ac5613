import itertools

from anvilwell_bench.audit import records as record_lines
from anvilwell_bench.audit import report
from anvilwell_bench.audit import texts
import clean_records as clean
import hypothesis
from hypothesis import strategies
import pytest


def broken(changed):
    for line in changed:
        record_lines.ADAPTER.validate_python(line)
    outcome = report.audit(clean.records(changed))
    return {breach.promise for breach in outcome.breaches}


def find(lines, kind, place=0):
    return [line for line in lines if line["kind"] == kind][place]


def test_clean_records_hold_all_nine():
    outcome = report.audit(clean.records())
    assert len(outcome.held) == 9
    assert outcome.lines()[-1] == "audit: 9 promises held, 0 breaches"
    assert outcome.is_clean


def test_promise_without_evidence_is_not_held():
    kept = [line for line in clean.lines() if line["kind"] != "leave"]
    outcome = report.audit(clean.records(kept))
    assert outcome.unproved == ("leaving",)
    assert not outcome.is_clean
    assert outcome.lines()[-1] == "audit: 8 promises held, 0 breaches"


def test_wrong_version_named():
    lines = clean.lines()
    find(lines, "collect")["samples"][0]["versions"] = ["8"]
    assert broken(lines) == {"versions"}


def test_order_of_versions_named():
    lines = clean.lines()
    find(lines, "collect", 1)["samples"][0]["versions"] = ["8", "7"]
    assert broken(lines) == {"versions"}


def test_engine_made_it_with_another_version():
    lines = clean.lines()
    find(lines, "token")["version"] = "8"
    assert broken(lines) == {"versions"}


def test_sample_older_than_bound():
    lines = clean.lines()
    find(lines, "version")["version"] = "9"
    assert broken(lines) == {"staleness"}


def test_collect_recorded_twice():
    lines = clean.lines()
    lines.append(dict(find(lines, "collect")))
    assert broken(lines) == {"exactly-once"}


def test_sample_under_a_second_position():
    lines = clean.lines()
    again = dict(find(lines, "collect")["samples"][0], position=2)
    lines.append(clean.collect(5.5, 2, 3, [again]))
    assert broken(lines) == {"exactly-once"}


def test_sample_never_delivered():
    lines = clean.lines()
    lines.remove(find(lines, "collect", 1))
    assert broken(lines) == {"exactly-once"}


def test_sample_never_asked_for():
    lines = clean.lines()
    strange = dict(find(lines, "collect")["samples"][0], position=2, index=9)
    lines.append(clean.collect(5.5, 2, 3, [strange]))
    assert broken(lines) == {"exactly-once"}


def test_answers_of_two_callers_swapped():
    lines = clean.lines()
    first, second = find(lines, "answer"), find(lines, "answer", 1)
    first["text"], second["text"] = second["text"], first["text"]
    assert broken(lines) == {"own-answer"}


def test_answer_short_of_the_last_token():
    lines = clean.lines()
    found = find(lines, "answer")
    found["text"] = " ".join(found["text"].split()[:-1])
    assert broken(lines) == {"own-answer"}


def test_sample_texts_swapped():
    lines = clean.lines()
    samples = [find(lines, "collect", n)["samples"][0] for n in (0, 1)]
    samples[0]["text"], samples[1]["text"] = (
        samples[1]["text"],
        samples[0]["text"],
    )
    assert broken(lines) == {"own-answer"}


def test_ask_without_answer():
    lines = clean.lines()
    lines.remove(find(lines, "answer"))
    assert broken(lines) == {"own-answer"}


def test_stream_cut_without_a_word():
    lines = clean.lines()
    find(lines, "answer")["whole"] = False
    assert broken(lines) == {"own-answer"}


def test_notice_answered_but_never_run():
    lines = clean.lines()
    lines.remove(find(lines, "run"))
    assert broken(lines) == {"own-answer"}


def test_refused_as_not_run_but_ran():
    lines = clean.lines()
    lines += clean.attempt(6.6, "engine-1", "x", "too much at once")
    assert broken(lines) == {"not-run"}


def test_refused_as_not_run_then_asked_again():
    lines = clean.lines()
    prompt = "too much at once"
    lines += clean.attempt(6.7, "engine-1", "x", prompt)
    lines.append(clean.ask(6.6, "again", prompt=prompt))
    own = texts.text(prompt, clean.SEED, 0, clean.LENGTH)
    lines.append(clean.answer(7.3, "again", text=own))
    assert broken(lines) == set()


def test_refused_as_not_run_after_an_equal_ask_ran():
    lines = clean.lines()
    prompt = "too much at once"
    lines.append(clean.ask(5.0, "before", prompt=prompt))
    lines += clean.attempt(5.1, "engine-1", "x", prompt)
    own = texts.text(prompt, clean.SEED, 0, clean.LENGTH)
    lines.append(clean.answer(5.8, "before", text=own))
    assert broken(lines) == set()


def test_notice_ran_twice():
    lines = clean.lines()
    lines.append(dict(find(lines, "run"), who="plain-2", at=6.75))
    assert broken(lines) == {"at-most-once"}


def test_leaving_server_took_work():
    lines = clean.lines()
    lines += clean.attempt(16.0, "engine-2", "late", "any")
    assert broken(lines) == {"leaving"}


def test_leaving_server_took_work_at_once():
    lines = clean.lines()
    lines += clean.attempt(14.0, "engine-2", "soon", "any")
    assert broken(lines) == set()


def test_shutdown_cut_an_answer():
    lines = clean.lines()
    find(lines, "answer", 1).update(
        whole=False, verdict="may-have-run", reason="link-lost"
    )
    assert broken(lines) == {"shutdown"}


@pytest.mark.parametrize("code", [1, 137])
def test_shutdown_ended_badly(code):
    lines = clean.lines()
    find(lines, "stopped")["code"] = code
    assert broken(lines) == {"shutdown"}


def test_shutdown_never_ended():
    lines = clean.lines()
    lines.remove(find(lines, "stopped"))
    assert broken(lines) == {"shutdown"}


def test_configuration_late_on_one_daemon():
    lines = clean.lines()
    find(lines, "probe", 2)["generation"] = 1
    assert broken(lines) == {"configuration"}


def test_configuration_reverts():
    lines = [*clean.lines(), clean.probe(9.6, "entry-1", 1)]
    assert broken(lines) == {"configuration"}


def test_configuration_never_seen():
    lines = clean.lines()
    lines.remove(find(lines, "probe", 2))
    assert broken(lines) == {"configuration"}


def test_engine_ordered_back_to_an_old_version():
    lines = [*clean.lines(), clean.order(15.0, "7")]
    assert broken(lines) == {"configuration"}


def _mutations():
    places = range(len(clean.lines()))
    kinds = [line["kind"] for line in clean.lines()]
    numbered = list(zip(places, kinds, strict=True))
    repeats = [
        ("repeat", place)
        for place, kind in numbered
        if kind in ("collect", "run", "answer")
    ]
    removals = [
        ("remove", place)
        for place, kind in numbered
        if kind in ("collect", "answer", "stopped", "finish")
    ]
    versions = [
        ("version", place)
        for place, kind in numbered
        if kind in ("collect", "token")
    ]
    return list(itertools.chain(repeats, removals, versions))


def _mutate(lines, how, place):
    line = lines[place]
    if how == "repeat":
        lines.append(dict(line))
    elif how == "remove":
        del lines[place]
    elif line["kind"] == "collect":
        line["samples"][0]["versions"] = ["6"]
    else:
        line["version"] = "6"


@hypothesis.given(strategies.sampled_from(_mutations()))
def test_every_mutation_is_caught(mutation):
    how, place = mutation
    lines = clean.lines()
    if lines[place].get("request_id", "s").startswith("c"):
        hypothesis.assume(how != "version")
    _mutate(lines, how, place)
    assert broken(lines)


@hypothesis.given(
    strategies.permutations(["a0", "a1", "n1"]).filter(
        lambda names: names != ["a0", "a1", "n1"]
    )
)
def test_every_swap_of_answers_is_caught(names):
    lines = clean.lines()
    texts_by_ask = {
        line["ask"]: line["text"] for line in lines if line["kind"] == "answer"
    }
    for name, other in zip(["a0", "a1", "n1"], names, strict=True):
        found = next(
            line
            for line in lines
            if line["kind"] == "answer" and line["ask"] == name
        )
        found["text"] = texts_by_ask[other]
    assert broken(lines) == {"own-answer"}
