"""When an engine loads a version that a trainer has named, if at all."""

import typing

# Engines that load weights take no new work for that model, and load
# slower if more than two fifths of them load at a time. So that many load
# together, one part of them after the other. A load takes 0.9 s.
PART_SHARE = 0.4
WAVE_S = 1.0
# Trainers submit a step as they name a version. Its items start on the
# version before, which they may, and go on while the weights load; an
# engine that loads first keeps them waiting for a second.
SETTLE_S = 0.3
# With fewer engines for each version that is skipped, those that load at
# the same moment leave too few for the first items of a step.
LEAST_PARTS = 2


class Place(typing.NamedTuple):
    """Where an engine stands among those of its service.

    Any order will do that all of them see alike.
    """

    rank: int
    replicas: int


def place(address, addresses):
    """Return the `Place` of the engine at `address` among `addresses`."""
    ordered = sorted(str(one) for one in addresses)
    mine = str(address)
    rank = ordered.index(mine) if mine in ordered else 0
    return Place(rank, max(1, len(ordered)))


def wait_s(had, wanted, lag, place):
    """Return how long the engine waits before it loads, None to skip.

    Parameters
    ----------
    had : int
        The version that it has.
    wanted : int
        The version that was just named.
    lag : int or None
        How many versions behind the newest one the items of the trainer's
        steps may be made; None if that is not known.
    place : Place
        Which engine it is.

    An engine that was loaded for one step also serves the ``lag`` steps
    after it. So each loads every ``lag + 1`` versions only, and the
    engines take turns: a load costs 0.9 s without new work.
    """
    period = (lag or 0) + 1
    if period == 1 or place.replicas < period * LEAST_PARTS:
        part = max(1, int(PART_SHARE * place.replicas))
        return SETTLE_S + WAVE_S * (place.rank // part)
    if had < wanted - lag:
        # Useless until it has loaded.
        return 0.0
    is_turn = (place.rank + wanted) % period == 0
    return SETTLE_S if is_turn else None
