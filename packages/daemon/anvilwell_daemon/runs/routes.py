"""The trainers' HTTP interface."""

import asyncio
import concurrent.futures

import pydantic

from anvilwell_daemon.runs import requests
from anvilwell_kernel import exceptions
from anvilwell_kernel import web

CALL_TIMEOUT_S = 30.0


class Routes:
    """Takes trainers' calls on handler threads.

    Parameters
    ----------
    runs : service.Runs
        Serves them on the event loop.
    loop : asyncio.AbstractEventLoop
        The event loop.
    """

    def __init__(self, runs, loop):
        self._runs = runs
        self._loop = loop

    def add_to(self, server):
        """Register the routes at a ``web.WebServer``."""
        prefix = "/v1/runs/<run>"
        server.route(f"{prefix}/steps/<int:step>", self._submit, ("POST",))
        server.route(f"{prefix}/samples", self._collect, ("GET",))
        server.route(f"{prefix}/version", self._version, ("PUT",))

    def _submit(self, request, run, step):
        body = web.json_body(request, requests.STEP)
        found = requests.step(_name(run), step, body)
        return self._answer(self._runs.submit(found))

    def _collect(self, request, run):
        query = _checked(requests.COLLECT, request.args.to_dict())
        work = self._runs.collect(_name(run), query)
        return self._answer(work, query.wait_s)

    def _version(self, request, run):
        body = web.json_body(request, requests.VERSION)
        version = requests.version(body)
        return self._answer(self._runs.set_version(_name(run), version))

    def _answer(self, work, wait_s=0.0):
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            body = future.result(CALL_TIMEOUT_S + wait_s)
        except concurrent.futures.TimeoutError as error:
            future.cancel()
            raise exceptions.Timeout(
                "no answer in time; ask again, repeating is harmless",
                retry_after=1.0,
            ) from error
        return web.json_response(body)


def _name(run):
    return _checked(requests.NAME, run)


def _checked(adapter, value):
    try:
        return adapter.validate_python(value)
    except pydantic.ValidationError as error:
        raise exceptions.BadRequest(f"call is not valid: {error}") from error
