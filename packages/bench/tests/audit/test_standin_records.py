import json

from anvilwell_bench.audit import reader
from anvilwell_bench.audit import texts
from anvilwell_standins.engine import server as engines
from anvilwell_standins.engine import weights
from anvilwell_standins import plain
import pytest
import urllib3

PROMPT = "draft a route to Menges"


@pytest.fixture
def http():
    return urllib3.PoolManager(retries=False)


def post(http, url, body, **headers):
    return http.request(
        "POST", url, body=json.dumps(body).encode(), headers=headers
    )


def parsed(standin):
    return reader.Records.from_lines(
        reader.parse(standin.record.encode().decode(), standin.name)
    )


def test_engine_record_is_what_the_auditor_reads(http):
    with engines.Engine(weights.Weights("planner", "7")) as engine:
        body = {"prompt": PROMPT, "seed": 5, "index": 2, "max_tokens": 4}
        answer = post(
            http, engine.url + "/v1/completions", body, **{"X-Request-Id": "r"}
        )
        for kind in ("load", "activate"):
            order = {"kind": kind, "argument": "8", "fencing": 3}
            post(http, engine.url + "/orders", order)
        records = parsed(engine)
    text = answer.json()["choices"][0]["text"]
    assert text == texts.text(PROMPT, 5, 2, 4)
    assert records.of("start")[0]["prompt"] == texts.digest(PROMPT)
    assert records.of("token")[0]["version"] == "7"
    assert records.of("finish")[0]["tokens"] == 4
    assert [line["order"] for line in records.of("order")] == [
        "load",
        "activate",
    ]
    assert records.of("swap")[0]["version"] == "8"


def test_plain_record_is_what_the_auditor_reads(http):
    with plain.Plain() as service:
        notice = http.request(
            "POST",
            service.url + "/notices",
            body=b"bus 4 is late",
            headers={"Idempotency-Key": "k"},
        )
        look_up = http.request("GET", service.url + "/stops/Kamnik")
        records = parsed(service)
    (run,) = records.of("run")
    assert run["digest"] == texts.digest("bus 4 is late")
    assert run["digest"] in notice.data.decode()
    assert records.of("lookup")[0]["path"] == "stops/Kamnik"
    assert texts.digest("stops/Kamnik") in look_up.data.decode()
