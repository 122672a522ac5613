"""Callers' requests through an entry and an agent on real sockets."""

import asyncio
import json

import pytest
import urllib3

from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import dispatcher
from anvilwell_daemon.entry import documents
from anvilwell_daemon.entry import handlers
from anvilwell_daemon.entry import replicas
from anvilwell_daemon.entry import traces
from anvilwell_daemon.peers import listener
from anvilwell_decisions.requests import admission
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.messages import links
from anvilwell_kernel import services
from anvilwell_kernel import web
from anvilwell_platform.ports import engine as engines

TIMEOUT_S = 20


class FakeEngine(engines.Engine):
    def load(self, *, timeout_s):
        return engines.Load(0, 0, 0.0, "7")

    def generate(self, attempt_id, body, *, timeout_s):
        for index in range(body["max_tokens"]):
            yield engines.Tokens(f"t{index} ", 1, "7")
        yield engines.Finish("length", body["max_tokens"])

    def cancel(self, attempt_id, *, timeout_s):
        pass

    def order(self, order, *, timeout_s):
        pass

    def export_cache(self, attempt_id, *, timeout_s):
        return b""

    def import_cache(self, attempt_id, data, *, timeout_s):
        pass

    def events(self, since, *, timeout_s):
        return []


DOCUMENT = """[service]
name = planner-lm
kind = model
[model]
name = planner
version = 7
staleness_bound = 2
"""


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("stream", [True, False])
def test_completion(tmp_path, stream):
    (tmp_path / "planner-lm.ini").write_text(DOCUMENT)

    async def scenario():
        clock = clocks.SystemClock()
        hello = links.Hello("agent-1", "agent", "planner-lm", "a", 1)
        accepts = listener.Listener("127.0.0.1", 0)
        agent = agents.Agent(
            hello,
            model.ModelBackend(FakeEngine()),
            admission.Admission(),
            clock,
        )
        one = services.Kernel([accepts, agent])
        await one.start()
        server = web.WebServer("127.0.0.1", 0, threads=4)
        links_up = replicas.Replicas(
            links.Hello("entry-1", "entry", "", "a", 1), [accepts.address]
        )
        two = services.Kernel(
            [
                server,
                links_up,
                traces.Traces(clock, 10),
                documents.FolderConfiguration(tmp_path),
                dispatcher.Dispatcher(clock),
                handlers.Callers(10, 0.0),
            ]
        )
        await two.start()
        await until(lambda: links_up.candidates("planner-lm"))
        host, port = server.address
        answer = await asyncio.to_thread(
            urllib3.request,
            "POST",
            f"http://{host}:{port}/v1/completions",
            json={"model": "planner-lm", "max_tokens": 5, "stream": stream},
            timeout=TIMEOUT_S,
        )
        await two.drain()
        await one.drain()
        await two.stop()
        await one.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.status == 200, answer.data
    if stream:
        events = answer.data.decode().strip().split("\n\n")
        assert events[-1] == "data: [DONE]"
        texts = [
            json.loads(event[6:])["choices"][0]["text"]
            for event in events[:-1]
        ]
        assert "".join(texts) == "t0 t1 t2 t3 t4 "
    else:
        body = answer.json()
        assert body["choices"][0]["text"] == "t0 t1 t2 t3 t4 "
        assert body["versions"] == ["7"]
