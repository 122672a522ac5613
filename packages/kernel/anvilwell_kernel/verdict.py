"""The verdict on whether a request may have run."""

import enum


class Verdict(enum.StrEnum):
    """Whether a backend server executed a request.

    ``NOT_RUN`` is a guarantee: no backend server executed the request and
    none will. ``MAY_HAVE_RUN`` guarantees nothing. ``RAN`` means that a
    backend server executed it to the end.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


_RANKS = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(*verdicts):
    """Return the verdict on a request from those on its attempts.

    Parameters
    ----------
    *verdicts : Verdict
        One for each attempt or hop, in any order.

    Returns
    -------
    Verdict
        ``RAN`` if any attempt ran, and ``NOT_RUN`` only if none can have
        run.
    """
    return max(verdicts, key=_RANKS.__getitem__, default=Verdict.NOT_RUN)
