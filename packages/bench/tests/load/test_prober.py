from anvilwell_bench.audit import reader
from anvilwell_bench.load import prober
from anvilwell_bench.load import recorder
from anvilwell_kernel import web
import pytest


@pytest.fixture
def admin():
    server = web.WebServer("127.0.0.1", 0)
    found = [
        {"service": "planner-lm", "generation": 4, "kind": "model"},
        {"service": "stops-app", "generation": 2, "kind": "plain"},
    ]
    server.route(
        "/admin/services",
        lambda request: web.json_response({"services": found}),
    )
    server.serve_in_thread()
    yield server
    server.close()


def test_probe_records_what_answers(admin, tmp_path):
    daemons = [
        prober.Probed("entry-1", "http://{}:{}".format(*admin.address)),
        prober.Probed("gone", "http://127.0.0.1:1"),
    ]
    record = recorder.Recorder("prober", tmp_path / "prober.jsonl")
    probing = prober.Prober(daemons, record)
    probing.stop()
    probing.run(interval_s=60.0)
    probes = [
        (line["daemon"], line["service"], line["generation"])
        for line in reader.read(tmp_path).of("probe")
    ]
    assert probes == [
        ("entry-1", "planner-lm", 4),
        ("entry-1", "stops-app", 2),
    ]
