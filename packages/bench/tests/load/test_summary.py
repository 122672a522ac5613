import io
import json

from anvilwell_bench.audit import reader
from anvilwell_bench.load import notes
from anvilwell_bench.load import recorder
from anvilwell_bench.load import summary
import clean_records as clean
import pytest

PAGE = """\
# HELP anvilwell_refusals_total Refusals by reason
# TYPE anvilwell_refusals_total counter
anvilwell_refusals_total{reason="overloaded",service="a"} 2.0
anvilwell_refusals_total{reason="overloaded",service="b"} 1.0
anvilwell_refusals_total{reason="deadline",service="b"} 0.0
# TYPE anvilwell_retries_total counter
anvilwell_retries_total{reason="link-lost",service="a"} 4.0
# TYPE other_total counter
other_total 9.0
"""


def test_summary_of_a_session(tmp_path):
    folder = tmp_path / "records"
    folder.mkdir()
    text = "".join(json.dumps(line) + "\n" for line in clean.lines())
    (folder / "all.jsonl").write_text(text)
    (tmp_path / "entry-1.prom").write_text(PAGE)
    assert summary.summarize(folder, tmp_path) == [
        "steps whole: 1 of 1",
        "trainer idle: 3.00 s",
        "staleness max: 1 versions",
        "live streams: 2 whole, p50 1000 ms, p99 1000 ms",
        "plain calls: 1 whole, p50 1000 ms, p99 1000 ms",
        "refusals: overloaded 3",
        "retries: link-lost 4",
    ]


def test_step_that_misses_a_sample_is_not_whole(tmp_path):
    kept = [line for line in clean.lines() if line.get("cursor") != 1]
    (wait,) = summary.step_waits(clean.records(kept))
    assert wait.whole_at is None


def test_note_of_an_operator(tmp_path):
    record = recorder.Recorder("operator", tmp_path / "operator.jsonl")
    notes.note(record, "stopped", ["daemon=entry-2", "code=0"])
    (line,) = reader.read(tmp_path).of("stopped")
    assert (line["daemon"], line["code"]) == ("entry-2", 0)


def test_note_of_an_applied_document(tmp_path, monkeypatch):
    outcome = {"outcome": "in-force", "generation": 2, "change_id": "c"}
    monkeypatch.setattr("sys.stdin", io.StringIO(json.dumps(outcome)))
    record = recorder.Recorder("operator", tmp_path / "operator.jsonl")
    notes.note_applied(record, "planner-lm", "8")
    (line,) = reader.read(tmp_path).of("apply")
    assert (line["generation"], line["version"]) == (2, "8")


def test_note_of_an_unknown_kind_is_an_error(tmp_path):
    record = recorder.Recorder("operator", tmp_path / "operator.jsonl")
    with pytest.raises(ValueError, match="unheard"):
        notes.note(record, "unheard", [])
    assert not list(tmp_path.iterdir())
