"""Sends one ask and judges the answer."""

import json
import time
import typing

import sseclient
import urllib3
import xxhash

from anvilwell_standins.engine import text as texts
from anvilwell_standins.programs import asks
from anvilwell_standins.programs import entries as entry_lists

DONE = "[DONE]"
_WHOLE = ("stop", "length")


class Answer(typing.NamedTuple):
    """What became of an ask; status 0 is a lost connection."""

    request_id: str
    status: int
    whole: bool
    text: str
    verdict: str
    reason: str
    retry_after_s: float = 0.0


class Stream(typing.NamedTuple):
    """What a stream of events came to."""

    text: str
    finish: str
    done: bool
    verdict: str = ""
    reason: str = ""


def send(entries, entry, ask, *, deadline_s, headers):
    """Send `ask` to `entry`, wait for all of it, and return the `Answer`."""
    sent = {
        "Content-Type": "application/json",
        "Anvilwell-Deadline-Ms": str(int(deadline_s * 1000)),
        **headers,
    }
    if ask.key:
        sent["Idempotency-Key"] = ask.key
    if ask.max_tokens:
        return _send_stream(entries, entry, ask, sent, deadline_s)
    reply = entries.call(
        entry,
        ask.method,
        asks.url_path(ask),
        body=asks.wire_body(ask),
        headers=sent,
        timeout_s=deadline_s,
    )
    return _judge(reply)


def is_own(ask, answer):
    """Return whether a whole answer is to this very ask."""
    if not ask.max_tokens:
        own = ask.body or ask.path.lstrip("/")
        return xxhash.xxh64_hexdigest(own.encode()) in answer.text
    count = len(answer.text.split())
    own = texts.text(ask.prompt, ask.seed, 0, count)
    return answer.text == own and 0 < count <= ask.max_tokens


def _send_stream(entries, entry, ask, headers, deadline_s):
    deadline = time.monotonic() + deadline_s
    try:
        response = entries.open(
            entry,
            ask.method,
            asks.url_path(ask),
            body=asks.wire_body(ask),
            headers=headers,
            timeout_s=deadline_s,
        )
        if response.status != 200:
            data = response.read(entry_lists.MAX_BODY_BYTES)
            response.release_conn()
            return _judge(
                entry_lists.Reply(response.status, response.headers, data)
            )
        stream = _read(response, deadline)
    except (urllib3.exceptions.HTTPError, OSError):
        entries.avoid(entry)
        return _judge(entry_lists.LOST)
    return Answer(
        _request_id(response.headers),
        response.status,
        stream.done and stream.finish in _WHOLE,
        stream.text,
        stream.verdict,
        stream.reason,
    )


def _read(response, deadline):
    """Return the `Stream`; one that is cut or late is not done."""
    pieces = []
    finish = ""
    try:
        for event in sseclient.SSEClient(response).events():
            if event.data == DONE:
                return Stream("".join(pieces), finish, True)
            body = json.loads(event.data)
            if "error" in body:
                return _failed("".join(pieces), finish, body["error"])
            choice = body["choices"][0]
            pieces.append(choice.get("text", ""))
            finish = choice.get("finish_reason") or finish
            if time.monotonic() > deadline:
                break
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return Stream("".join(pieces), finish, False)
    finally:
        response.close()
    return Stream("".join(pieces), finish, False)


def _failed(text, finish, error):
    return Stream(text, finish, False, error["verdict"], error["reason"])


def _judge(reply):
    whole = 200 <= reply.status < 300
    return Answer(
        _request_id(reply.headers),
        reply.status,
        whole,
        reply.body.decode(errors="replace") if whole else "",
        "" if whole else reply.headers.get("Anvilwell-Verdict", ""),
        "" if whole else reply.headers.get("Anvilwell-Reason", ""),
        float(reply.headers.get("Retry-After", 0)),
    )


def _request_id(headers):
    return headers.get("Anvilwell-Request-Id", "")
