"""Says whether a request may have run."""

import enum


class Verdict(enum.StrEnum):
    """What is known of a request's execution.

    ``NOT_RUN`` is a promise: no backend server executed the request and
    none will. ``MAY_HAVE_RUN`` promises nothing. ``RAN`` says a backend
    server executed it to the end.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


_RANKS = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(*verdicts):
    """Return the verdict of a request made of several attempts.

    Parameters
    ----------
    *verdicts : Verdict
        One verdict for each attempt or hop, in any order.

    Returns
    -------
    Verdict
        ``RAN`` if any ran, ``NOT_RUN`` only if none may have run.
    """
    return max(verdicts, key=_RANKS.__getitem__, default=Verdict.NOT_RUN)
