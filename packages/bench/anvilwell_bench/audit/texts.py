"""Makes the text of engines and plain services again, apart from them."""

import xxhash


def digest(text):
    """Return the digest by which records name a prompt or a body."""
    return xxhash.xxh64_hexdigest(text.encode())


def token(prompt, seed, index, place):
    """Return the token at `place` (from 0) of one generated text."""
    name = f"{seed}/{index}/{place}/{prompt}"
    return f"{xxhash.xxh32_hexdigest(name.encode())[:4]} "


def text(prompt, seed, index, count):
    """Return the first `count` tokens of one generated text."""
    return "".join(token(prompt, seed, index, place) for place in range(count))


def count_tokens(generated):
    """Return how many tokens `generated` has."""
    return len(generated.split())


def count_strange(generated, prompt, seed, index):
    """Return how many tokens do not belong to the text at their place."""
    return sum(
        word != token(prompt, seed, index, place).strip()
        for place, word in enumerate(generated.split())
    )
