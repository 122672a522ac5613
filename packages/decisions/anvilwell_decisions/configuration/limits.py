"""Time limits and counts of the agreement protocol."""

import typing

# Accepted changes that a record keeps. They show whether a change was accepted
# when its proposer got no response or an operator sends it again.
HISTORY_CHANGES = 32
# Members of each failure domain that watch the records for changes.
WATCHERS_PER_DOMAIN = 2


class Limits(typing.NamedTuple):
    """Limits that are the same at all instances.

    Attributes
    ----------
    prepare_s : float
        Time for all listed instances to answer a prepare.
    propose_s : float
        Time after which the operator gets the outcome UNKNOWN.
    retry_s : float
        Interval between repeated prepares, and between repeated reads.
    fence_s : float
        Time for which an instance with a prepared change accepts new work
        under the old document.
    resolve_s, resolve_step_s : float
        Time after which the first-ranked member reads the record to find a
        missing outcome, and the additional delay of each further member.
    sponsor_s : float
        Time for which a sponsored instance serves after its last request
        that its sponsor granted. Must not be longer than ``fence_s``.
    exchange_s : float
        Interval between exchanges of document versions with a peer.
    swap_attempts : int
        Accepting writes that are tried before a change is refused.
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
