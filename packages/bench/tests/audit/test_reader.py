import json

from anvilwell_bench.audit import reader
import clean_records as clean
import pytest


def write(folder, who, lines):
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (folder / f"{who}.jsonl").write_text(text)


def test_lines_come_in_order_of_time(tmp_path):
    write(tmp_path, "b", [clean.probe(2.0, "entry-1", 1)])
    write(tmp_path, "a", [clean.probe(3.0, "entry-1", 1)])
    read = reader.read(tmp_path, ["a", "b"])
    assert [line["at"] for line in read.of("probe")] == [2.0, 3.0]


@pytest.mark.parametrize(
    "text",
    [
        "not json\n",
        "[]\n",
        '{"at": 1.0, "who": "x", "kind": "unheard"}\n',
        '{"at": 1.0, "who": "x", "kind": "probe", "daemon": "entry-1"}\n',
        '{"at": 1.0, "who": "x", "kind": "pro',
        "\n",
    ],
)
def test_malformed_line_is_an_error(tmp_path, text):
    (tmp_path / "prober.jsonl").write_text(text)
    with pytest.raises(reader.BadRecord, match=r"prober.jsonl:1"):
        reader.read(tmp_path)


def test_missing_and_empty_records_are_errors(tmp_path):
    write(tmp_path, "a", [clean.probe(3.0, "entry-1", 1)])
    write(tmp_path, "empty", [])
    with pytest.raises(reader.BadRecord, match="empty, gone"):
        reader.read(tmp_path, ["a", "empty", "gone"])


def test_empty_folder_is_an_error(tmp_path):
    with pytest.raises(reader.BadRecord, match="no record files"):
        reader.read(tmp_path)
