"""When an engine loads a version that a trainer has named, if at all."""

import math
import typing

# Engines that load weights take no new work for that model, and load
# slower if more than two fifths of them load at a time. So that many load
# together, one part of them after the other. A load takes 0.9 s.
MAX_LOADING_SHARE = 0.4
LOAD_WAVE_S = 1.0
# Trainers submit a step as they name a version. Its items start on the
# version before, which they may, and go on while the weights load; an
# engine that loads first keeps them waiting for a second.
FIRST_LOAD_DELAY_S = 0.3
# With fewer engines for each version that is skipped, those that load at
# the same moment leave too few for the first items of a step.
MIN_ENGINES_PER_VERSION = 2
# An engine keeps as few models at their newest versions as leaves so many
# engines for each: enough must be left when some are lost, and two must be
# able to take turns with two. An engine carries out one order at a time; if
# all of nineteen keep four models that are named every four seconds, each
# loads almost half of the time, and the first item of a step may wait two
# seconds for that.
MIN_ENGINES_PER_MODEL = 4
# And it keeps so many at least: trainers do not need equal parts, and with
# one model an engine those with more items would have too few of them.
MIN_MODELS_PER_ENGINE = 2


class LoadPosition(typing.NamedTuple):
    """Where an engine stands among those of its service.

    Any order will do that all of them see alike.
    """

    rank: int
    replicas: int


def load_position(address, model, models, addresses):
    """Return an engine's `LoadPosition` for one model.

    Parameters
    ----------
    address : str or options.Address
        The engine.
    model : str
        The model.
    models : iterable of str
        All models whose versions the service's engines are to have.
    addresses : iterable
        All engines of the service, as far as they are known.

    Returns
    -------
    Place or None
        None if others keep the model.
    """
    ordered = sorted(str(one) for one in addresses)
    own_address = str(address)
    if own_address not in ordered:
        return LoadPosition(0, max(1, len(ordered)))
    assigned = _assigned_engines(model, sorted(models), ordered)
    return (
        LoadPosition(assigned.index(own_address), len(assigned))
        if own_address in assigned
        else None
    )


def _assigned_engines(model, models, engines):
    """Return which of the engines keep a model; all if they are few."""
    if model not in models:
        return engines
    needed = math.ceil(len(models) * MIN_ENGINES_PER_MODEL / len(engines))
    models_per_engine = max(MIN_MODELS_PER_ENGINE, needed)
    first = models.index(model)
    return [
        engine
        for rank, engine in enumerate(engines)
        if (rank - first) % len(models) < models_per_engine
    ]


def load_delay_s(current, wanted, lag, position):
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
    place : Place or None
        Which engine it is, None for one that does not keep the model.

    An engine that was loaded for one step also serves the ``lag`` steps
    after it. So each loads every ``lag + 1`` versions only, and the
    engines take turns: a load costs 0.9 s without new work.
    """
    if position is None:
        return None
    period = (lag or 0) + 1
    if period == 1 or position.replicas < period * MIN_ENGINES_PER_VERSION:
        wave_size = max(1, int(MAX_LOADING_SHARE * position.replicas))
        return FIRST_LOAD_DELAY_S + LOAD_WAVE_S * (position.rank // wave_size)
    if current < wanted - lag:
        # Useless until it has loaded.
        return 0.0
    is_own_turn = (position.rank + wanted) % period == 0
    return FIRST_LOAD_DELAY_S if is_own_turn else None
