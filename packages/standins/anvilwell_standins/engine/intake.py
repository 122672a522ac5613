"""What a completion comes to: which tokens, and from where on."""

from anvilwell_kernel import exceptions

from anvilwell_standins.engine import batching
from anvilwell_standins.engine import text


def plan(request_id, completion, imported, *, tail):
    """Return the `Sample` that `completion` asks for.

    Parameters
    ----------
    request_id : str
        Id of the request.
    completion : requests.Completion
        What it asks.
    imported : cache.Exported or None
        The KV cache imported for it.
    tail : bool
        Draw a Pareto length, up to ``max_tokens``.

    Raises
    ------
    exceptions.Conflict
        If it resumes a sample whose KV cache is not here.
    exceptions.BadRequest
        If it resumes further on than the KV cache goes.
    """
    length = text.length(
        completion.prompt,
        completion.seed,
        completion.index,
        completion.max_tokens,
        tail=tail,
    )
    first = _first_token(request_id, completion, imported)
    return batching.Sample(
        request_id,
        completion.prompt,
        completion.seed,
        completion.index,
        first,
        max(length, first + 1),
        "stop" if length < completion.max_tokens else "length",
    )


def _first_token(request_id, completion, imported):
    if completion.resume is None:
        return 0
    wanted = (completion.prompt, completion.seed, completion.index)
    if imported is None or imported[:3] != wanted:
        raise exceptions.Conflict(
            f"no KV cache of this sample was imported for {request_id!r}"
        )
    tokens = completion.resume.tokens
    if not 0 <= tokens <= imported.tokens:
        raise exceptions.BadRequest(
            f"resume.tokens is {tokens}, the cache has {imported.tokens}"
        )
    return tokens
