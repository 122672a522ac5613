"""What the parties of a session saw, without ids, times and ports."""

import itertools
import json
import re

import sseclient

_ID = re.compile(r"[0-9a-f]{32}")
_ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
_KEPT_HEADERS = (
    "Content-Type",
    "Anvilwell-Verdict",
    "Anvilwell-Reason",
    "Retry-After",
)
_DROPPED_FIELDS = ("at", "who", "model", "fencing")


class Transcript:
    """Lines of one session in the order in which they were noted."""

    def __init__(self):
        self._lines = []
        self._names_by_id = {}

    def note(self, who, what, **fields):
        """Note that `who` did or saw `what`."""
        told = json.dumps(fields, sort_keys=True)
        self._lines.append(f"{who}: {what} {self._normalise(told)}")

    def note_answer(self, who, response):
        """Note an HTTP answer that has been read to its end."""
        headers = {
            name: response.headers[name]
            for name in _KEPT_HEADERS
            if name in response.headers
        }
        self.note(
            who,
            "answer",
            status=response.status,
            headers=headers,
            named="Anvilwell-Request-Id" in response.headers,
        )

    def note_records(self, who, standin, kinds):
        """Note the lines of some kinds that a stand-in recorded."""
        for line in standin.record.lines():
            if line["kind"] in kinds:
                kept = {
                    name: value
                    for name, value in line.items()
                    if name not in (*_DROPPED_FIELDS, "kind")
                }
                self.note(who, line["kind"], **kept)

    def text(self):
        """Return the whole transcript."""
        return "\n".join(self._lines) + "\n"

    def _normalise(self, told):
        told = _ADDRESS.sub("ADDRESS", told)
        return _ID.sub(self._name_of, told)

    def _name_of(self, match):
        number = len(self._names_by_id) + 1
        return self._names_by_id.setdefault(match[0], f"ID{number}")


def events(response):
    """Yield the data of each server-sent event."""
    for event in sseclient.SSEClient(response).events():
        yield event.data


def summarize_events(datas):
    """Return the events with neighbouring texts of a version joined.

    How many tokens come in one event is a matter of timing.
    """
    parsed = [data if data == "[DONE]" else json.loads(data) for data in datas]
    return [
        _joined(list(group))
        for _key, group in itertools.groupby(parsed, key=_kind)
    ]


def _kind(event):
    if event == "[DONE]" or "error" in event:
        return json.dumps(event)
    return event["choices"][0]["finish_reason"], event.get("version")


def _joined(group):
    first = group[0]
    if first == "[DONE]" or "error" in first:
        return first
    return {
        "text": "".join(event["choices"][0]["text"] for event in group),
        "finish_reason": first["choices"][0]["finish_reason"],
        "version": first.get("version"),
        "tokens": sum(event.get("tokens", 0) for event in group),
    }
