"""How many results fit into one value or page."""

# Id, state, versions and coding of a result beside its text, in bytes.
RESULT_BYTES = 200


def fitting(results, max_bytes):
    """Return the first of `results` that fit; at least one if any."""
    size = 0
    for number, result in enumerate(results):
        size += len(result.text) + RESULT_BYTES
        if number and size > max_bytes:
            return results[:number]
    return results


def size(results):
    """Return how much room `results` take, in bytes."""
    return sum(len(result.text) + RESULT_BYTES for result in results)
