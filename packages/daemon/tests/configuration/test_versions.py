"""Trainers ask for weight versions."""

import asyncio
import json

import pytest
import urllib3

from anvilwell_daemon.configuration import texts
from anvilwell_daemon.configuration import versions
from anvilwell_decisions.configuration import outcomes
from anvilwell_kernel import documents
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import services
from anvilwell_kernel import web

TEXT = (
    "[service]\nname = planner-lm\nkind = model\n"
    "[model]\nname = planner\nversion = 8\nstaleness_bound = 2\n"
)
DOCUMENT = messages.Document("planner-lm", 3, 4, TEXT)
TIMEOUT_S = 20.0


class FakeConfiguration(services.Service):
    name = "configuration"

    def __init__(self):
        self.asked = []

    async def propose_version(self, service, version):
        self.asked.append((service, version))
        return outcomes.Outcome(
            outcomes.OutcomeKind.IN_FORCE, 4, "change", [], []
        )


def test_version_moves_on_and_all_else_stays():
    text = texts.Texts().with_version(DOCUMENT, "9")
    parsed = documents.parse(text, "planner-lm")
    assert parsed.model.version == "9"
    before = documents.parse(TEXT, "planner-lm")
    assert parsed._replace(model=before.model) == before


def test_version_in_force_changes_nothing():
    assert texts.Texts().with_version(DOCUMENT, "8") == TEXT


def test_trainer_does_not_go_back():
    with pytest.raises(exceptions.Conflict):
        texts.Texts().with_version(DOCUMENT, "7")


@pytest.mark.parametrize("version", ["", "x", "-1", "9.0"])
def test_version_is_a_number(version):
    with pytest.raises(exceptions.BadRequest):
        texts.Texts().with_version(DOCUMENT, version)


def put(address, body):
    host, port = address
    return urllib3.request(
        "PUT",
        f"http://{host}:{port}/v1/services/planner-lm/version",
        body=json.dumps(body),
        timeout=TIMEOUT_S,
        retries=False,
    )


def run(*bodies):
    """Return what was asked of configuration, and the responses."""

    async def main():
        server = web.WebServer("127.0.0.1", 0, name="web", threads=4)
        configuration = FakeConfiguration()
        kernel = services.Kernel([configuration, server, versions.Versions()])
        await kernel.start()
        try:
            found = [
                await asyncio.to_thread(put, server.address, body)
                for body in bodies
            ]
        finally:
            await kernel.stop()
        return configuration.asked, found

    return asyncio.run(main())


def test_request_becomes_a_change():
    asked, (response,) = run({"version": "9"})
    assert asked == [("planner-lm", "9")]
    assert response.status == 200
    assert response.json()["outcome"] == "in-force"


def test_bad_body_is_refused():
    asked, found = run({"version": 9}, {"version": "new"}, {})
    assert asked == []
    assert [response.status for response in found] == [400, 400, 400]
