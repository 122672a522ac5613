"""Limits results to what fits into one stored value or one page."""

# Size of a result without its text, in bytes: its id, state, versions and
# encoding.
RESULT_OVERHEAD_BYTES = 200


def fit_results(results, max_bytes):
    """Return the first of `results` that fit into `max_bytes`.

    The first result is returned whatever its size.
    """
    total_bytes = 0
    for number, result in enumerate(results):
        total_bytes += len(result.text) + RESULT_OVERHEAD_BYTES
        if number and total_bytes > max_bytes:
            return results[:number]
    return results


def total_bytes(results):
    """Return the approximate size of `results`, in bytes."""
    return sum(len(result.text) + RESULT_OVERHEAD_BYTES for result in results)
