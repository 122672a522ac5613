"""A service that scores samples for a trainer."""

import typing

from anvilwell_kernel import web
import pydantic
import xxhash

from anvilwell_standins.base import server

_SCORES = 1000


class Sample(typing.NamedTuple):
    """One sample to score."""

    id: str
    text: str


class ScoreRequest(typing.NamedTuple):
    """The samples to score."""

    samples: list[Sample]


_REQUEST = pydantic.TypeAdapter(ScoreRequest)


def score(text):
    """Return the score of `text`, from 0 to 1; always the same."""
    return xxhash.xxh32_intdigest(text.encode()) % _SCORES / _SCORES


class Scorer(server.StandIn):
    """Scores each sample by its text alone.

    Fault ``double`` gives every score twice, ``missing`` leaves out the
    last, and ``differing`` gives a second, other score.
    """

    name = "scorer"
    own_faults = ("double", "missing", "differing")

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.route("/score", self._score, ("POST",))

    def _score(self, request):
        samples = web.json_body(request, _REQUEST).samples
        scores = [
            {"id": sample.id, "score": score(sample.text)}
            for sample in samples
        ]
        self.record.add("score", ids=[sample.id for sample in samples])
        return web.json_response({"scores": self._spoil(scores)})

    def _spoil(self, scores):
        if self.faults.take("double"):
            return scores + scores
        if self.faults.take("missing"):
            return scores[:-1]
        if self.faults.take("differing"):
            other = [{**one, "score": one["score"] + 1} for one in scores]
            return scores + other
        return scores
