"""Adapter for a scorer, a JSON API over HTTP."""

from anvilwell_kernel import exceptions
import pydantic
import typing_extensions

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import scorer


class _ScoreBody(typing_extensions.TypedDict):
    id: str
    score: float


class _ScoresBody(typing_extensions.TypedDict):
    scores: list[_ScoreBody]


_SCORES = pydantic.TypeAdapter(_ScoresBody)


class HttpScorer(http_adapter.HttpAdapter, scorer.Scorer):
    """Calls one scorer and drops scores of samples that were not sent."""

    def score(self, samples, *, timeout_s):
        """Return a `Score` by sample id for each of `samples`.

        Parameters
        ----------
        samples : dict of str to str
            Texts by sample id.
        timeout_s : float
            Limit for the call, in seconds.

        Raises
        ------
        exceptions.BackendFailed
            If a sample got no score or two different ones.
        """
        body = [{"id": key, "text": text} for key, text in samples.items()]
        response = self._client.call(
            "POST",
            "/score",
            body=json_bodies.encode({"samples": body}),
            headers=json_bodies.CONTENT_TYPE,
            timeout_s=timeout_s,
        )
        responses.check_status(response, "scorer")
        found = json_bodies.decode(_SCORES, response.body, "scorer")["scores"]
        return _match(samples, found)


def _match(samples, found):
    scores_by_id = {}
    for one in found:
        score = scorer.Score(one["id"], one["score"])
        if scores_by_id.setdefault(score.sample_id, score) != score:
            raise exceptions.BackendFailed(
                f"the scorer sent two different scores for {score.sample_id}"
            )
    missing = samples.keys() - scores_by_id.keys()
    if missing:
        raise exceptions.BackendFailed(
            f"the scorer sent no score for {sorted(missing)}"
        )
    return {key: scores_by_id[key] for key in samples}
