"""How many results fit into one value or page."""

# Id, state, versions and coding of a result beside its text, in bytes.
RESULT_OVERHEAD_BYTES = 200


def fit_results(results, max_bytes):
    """Return the first of `results` that fit; at least one if any."""
    total_bytes = 0
    for number, result in enumerate(results):
        total_bytes += len(result.text) + RESULT_OVERHEAD_BYTES
        if number and total_bytes > max_bytes:
            return results[:number]
    return results


def total_bytes(results):
    """Return how much room `results` take, in bytes."""
    return sum(len(result.text) + RESULT_OVERHEAD_BYTES for result in results)
