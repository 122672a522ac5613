"""Adapter for engines with an OpenAI-compatible HTTP API."""

import http
import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from prometheus_client import parser
import pydantic
import sseclient
import typing_extensions

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import engine

# Largest stream of one attempt, in bytes of its events.
MAX_STREAM_BYTES = 64 << 20
# Data of the event that ends a complete stream.
DONE = "[DONE]"
# Header with the id of the attempt.
REQUEST_ID = "X-Request-Id"


class _Choice(typing_extensions.TypedDict, total=False):
    text: str
    finish_reason: str | None


class _Event(typing_extensions.TypedDict, total=False):
    choices: typing_extensions.Required[list[_Choice]]
    version: str
    tokens: pydantic.NonNegativeInt


class _Error(typing_extensions.TypedDict):
    reason: str


class _ErrorBody(typing_extensions.TypedDict):
    error: _Error


class _Events(typing_extensions.TypedDict):
    events: list[engine.CacheEvent]


_EVENT = pydantic.TypeAdapter(_Event)
_ERROR = pydantic.TypeAdapter(_ErrorBody)
_EVENTS = pydantic.TypeAdapter(_Events)


class SseEngine(http_adapter.BackendAdapter, engine.Engine):
    """Calls one engine and reads its streams as server-sent events."""

    def load(self, *, timeout_s):
        """Return the engine's `Load`."""
        response = self._call("GET", "/metrics", timeout_s=timeout_s)
        try:
            families = parser.text_string_to_metric_families(
                response.body.decode()
            )
            return _parse_load(
                {s.name: s for f in families for s in f.samples}
            )
        except (ValueError, KeyError) as error:
            raise exceptions.BackendFailed(
                f"the engine's metrics are invalid: {error!r}"
            ) from error

    def generate(self, attempt_id, body, *, timeout_s):
        """Yield `Tokens`, then one `Finish`.

        Closing the generator closes the connection, which cancels the
        attempt.
        """
        deadline = time.monotonic() + timeout_s
        response = self._client.open(
            "POST",
            "/v1/completions",
            body=json_bodies.encode({**body, "stream": True}),
            headers={**json_bodies.CONTENT_TYPE, REQUEST_ID: attempt_id},
            timeout_s=timeout_s,
        )
        chunks = self._client.chunks(
            response, deadline, MAX_STREAM_BYTES, is_delimited=True
        )
        if response.status != 200:
            data = b"".join(chunks)
            responses.check_status(
                responses.HttpResponse(
                    response.status, response.headers, data
                ),
                "engine",
            )
        try:
            yield from _parse_stream(sseclient.SSEClient(chunks).events())
        finally:
            chunks.close()
            response.close()

    def cancel(self, attempt_id, *, timeout_s):
        """Cancel attempt `attempt_id`; does nothing if it is not running."""
        body = {"request_id": attempt_id}
        self._call("POST", "/cancel", body, timeout_s=timeout_s)

    def order(self, order, *, timeout_s):
        """Have the engine execute `order`.

        Raises
        ------
        exceptions.Fenced
            If the engine has received a higher fencing number.
        exceptions.Conflict
            If the engine refuses the order for another reason.
        exceptions.BackendFailed
            If the call failed; the engine may have executed the order.
        """
        response = self._send(
            "POST", "/orders", order._asdict(), timeout_s=timeout_s
        )
        if response.status == http.HTTPStatus.CONFLICT and _is_fenced(
            response
        ):
            raise exceptions.Fenced(
                "the engine has received a higher fencing number than "
                f"{order.fencing}"
            )
        responses.check_status(response, "engine /orders")

    def export_cache(self, attempt_id, *, timeout_s):
        """Return the KV cache of attempt `attempt_id` as bytes."""
        path = f"/cache/{attempt_id}"
        return self._call("GET", path, timeout_s=timeout_s).body

    def import_cache(self, attempt_id, data, *, timeout_s):
        """Load a KV cache that another engine exported for `attempt_id`."""
        path = f"/cache/{attempt_id}"
        self._call("PUT", path, data=data, timeout_s=timeout_s)

    def events(self, since, *, timeout_s):
        """Return the `CacheEvent`s after number `since`.

        Their numbers may have gaps.
        """
        path = f"/events?since={since}"
        response = self._call("GET", path, timeout_s=timeout_s)
        return json_bodies.decode(_EVENTS, response.body, "events")["events"]

    def _call(self, method, path, body=None, *, data=None, timeout_s):
        response = self._send(
            method, path, body, data=data, timeout_s=timeout_s
        )
        return responses.check_status(response, f"engine {path}")

    def _send(self, method, path, body=None, *, data=None, timeout_s):
        return self._client.call(
            method,
            path,
            body=data if body is None else json_bodies.encode(body),
            headers=json_bodies.CONTENT_TYPE,
            timeout_s=timeout_s,
        )


def _parse_load(samples_by_name):
    version = samples_by_name["engine_version_info"].labels["version"]
    return engine.Load(
        int(samples_by_name["engine_requests_running"].value),
        int(samples_by_name["engine_requests_waiting"].value),
        samples_by_name["engine_cache_share"].value,
        version,
    )


def _parse_stream(events):
    """Yield `Tokens` for each event that has any, then one `Finish`."""
    count = 0
    finish = None
    for event in events:
        if event.data == DONE:
            if finish is None:
                break
            yield engine.Finish(finish, count)
            return
        body = json_bodies.decode(_EVENT, event.data, "engine")
        tokens = _parse_tokens(body)
        count += tokens.count
        if tokens.count:
            yield tokens
        finish = body["choices"][0].get("finish_reason") or finish
    raise exceptions.BackendFailed(
        f"the engine's stream was truncated after {count} tokens",
        reason=reasons.Refusal.ANSWER_CUT,
    )


def _parse_tokens(body):
    if not body["choices"]:
        raise exceptions.BackendFailed(
            "the engine sent an event without choices"
        )
    text = body["choices"][0].get("text", "")
    count = body.get("tokens", 0)
    version = body.get("version", "")
    if (text or count) and not (count and version):
        raise exceptions.BackendFailed(
            "the engine sent text without its token count and version"
        )
    return engine.Tokens(text, count, version)


def _is_fenced(response):
    try:
        reason = _ERROR.validate_json(response.body)["error"]["reason"]
    except ValueError:
        return False
    return reason == reasons.Refusal.FENCED
