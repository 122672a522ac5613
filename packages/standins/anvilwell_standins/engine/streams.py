"""One run as server-sent events or one JSON body, and its record."""

import json
import queue

from anvilwell_standins.base import server
from anvilwell_standins.engine import batching
from anvilwell_standins.engine import text

DONE = b"data: [DONE]\n\n"
_POLL_S = 0.1


class TagDelay:
    """Tags the first tokens after a swap with the version before it.

    Parameters
    ----------
    tokens : int
        How many tokens get the wrong tag; 0 tags truly.
    """

    def __init__(self, tokens):
        self._tokens = tokens
        self._true = None
        self._shown = None
        self._left = 0

    def tag(self, piece):
        """Return the version to show with `piece`."""
        if self._true is not None and piece.version != self._true:
            self._shown = self._true
            self._left = self._tokens
        self._true = piece.version
        if self._left <= 0:
            return piece.version
        self._left -= piece.count
        return self._shown


class Reader:
    """Reads the pieces of one run and keeps the record of them.

    Parameters
    ----------
    standin : server.StandIn
        For the record and outages.
    run : batching.Run
        What to read.
    """

    def __init__(self, standin, run):
        self._standin = standin
        self._run = run
        self._epoch = standin.epoch()
        self._sent = 0
        self.end = None

    def pieces(self):
        """Yield each `Piece`; ``end`` is set once all are read."""
        while self.end is None:
            event = self._next()
            if isinstance(event, batching.End):
                self._finish(event)
            else:
                self._sent += event.count
                yield event

    def _next(self):
        while True:
            self._standin.check_epoch(self._epoch)
            try:
                return self._run.events.get(timeout=_POLL_S)
            except queue.Empty:
                continue

    def _finish(self, event):
        if not event.reason:
            raise server.dropped()
        self.end = event

    def close(self):
        """Record what the run made, and whether it ended whole."""
        sample = self._run.sample
        record = self._standin.record
        place = sample.first
        for version, count in self._run.versions:
            record.add(
                "token",
                request_id=sample.request_id,
                first=place,
                count=count,
                version=version,
            )
            place += count
        record.add(
            "finish",
            request_id=sample.request_id,
            reason=self.end.reason if self.end else "cut",
            first=sample.first,
            tokens=place,
            sent=self._sent,
            digest=text.digest(
                text.text(sample.prompt, sample.seed, sample.index, place)
            ),
        )


def encode_event(index, piece, version, reason=None):
    """Return one server-sent event."""
    choice = {"text": piece.text, "index": index, "finish_reason": reason}
    body = {"choices": [choice], "version": version, "tokens": piece.count}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def encode_stream(reader, index, tags):
    """Yield the events of `reader`, ended by ``[DONE]``."""
    version = ""
    for piece in reader.pieces():
        version = tags.tag(piece)
        yield encode_event(index, piece, version)
    last = batching.Piece("", 0, version)
    yield encode_event(index, last, version, reader.end.reason)
    yield DONE


def encode_whole(reader, index, tags):
    """Return the whole answer as a JSON-able body."""
    tagged = [(piece, tags.tag(piece)) for piece in reader.pieces()]
    count = sum(piece.count for piece, _ in tagged)
    versions = list(dict.fromkeys(version for _, version in tagged))
    choice = {
        "text": "".join(piece.text for piece, _ in tagged),
        "index": index,
        "finish_reason": reader.end.reason,
    }
    return {
        "object": "text_completion",
        "choices": [choice],
        "versions": versions,
        "usage": {"completion_tokens": count},
    }
