"""The bounds of the protocol, in seconds and counts."""

import typing

HISTORY_CHANGES = 32
WATCHERS_PER_DOMAIN = 2


class Limits(typing.NamedTuple):
    """Bounds that all instances share.

    ``fence_s`` is how long a prepared instance goes on under the old
    document, ``sponsor_s`` how long a sponsored one goes on without
    hearing from its sponsor. ``resolve_s`` and ``resolve_step_s`` say
    when the first-ranked member looks for a missing outcome, and how
    much later each next one does.
    """

    prepare_s: float = 1.0
    propose_s: float = 8.0
    retry_s: float = 0.25
    fence_s: float = 2.0
    resolve_s: float = 1.25
    resolve_step_s: float = 0.5
    sponsor_s: float = 2.0
    exchange_s: float = 1.0
    swap_attempts: int = 8
