"""Generated text, a pure function of prompt, seed and index."""

import random

import xxhash

_SHORTEST_SHARE = 0.1
_TAIL_SHAPE = 1.2


def token(prompt, seed, index, position):
    """Return the token at `position` of one sample's text."""
    name = f"{seed}/{index}/{position}/{prompt}"
    return f"{xxhash.xxh32_hexdigest(name.encode())[:4]} "


def text(prompt, seed, index, count):
    """Return the first `count` tokens as text."""
    return "".join(token(prompt, seed, index, n) for n in range(count))


def length(prompt, seed, index, max_tokens, *, tail):
    """Return how many tokens the sample has.

    Parameters
    ----------
    tail : bool
        Draw a Pareto length instead of `max_tokens`.

    Returns
    -------
    int
        Between 1 and `max_tokens`; the same for the same sample.
    """
    if not tail:
        return max_tokens
    rng = random.Random(f"{seed}/{index}/{prompt}")
    drawn = rng.paretovariate(_TAIL_SHAPE) * _SHORTEST_SHARE * max_tokens
    return max(1, min(max_tokens, int(drawn)))


def digest(generated):
    """Return a short digest of `generated` text."""
    return xxhash.xxh64_hexdigest(generated.encode())
