"""Decides whether and when an engine loads a version named by a trainer."""

import math
import typing

# Largest share of a model's engines that load a version at the same time; the
# engines load in waves of this size. An engine that loads takes no new work
# for that model, and loads get slower if more than two fifths of the engines
# load at once.
MAX_LOADING_SHARE = 0.4
# Time between two waves of engines that load, in seconds: a little more than a
# load takes.
LOAD_WAVE_S = 1.0
# Delay in seconds before the first engines load a new version. A trainer names
# the version of a step when it submits the step's items. These may start on
# the previous version and continue while the weights are loaded; an engine
# that loaded at once would keep them waiting for a second.
FIRST_LOAD_DELAY_S = 0.3
# Engines that take turns at loading each load one version out of every
# `lag + 1`, which is called the period. They take turns only if there are at
# least this many engines for each version of the period. With fewer, too few
# engines would be left for the first items of a step while the others load.
MIN_ENGINES_PER_VERSION = 2
# Each model is loaded by at least this many engines. Enough engines must be
# left when some are lost, and there must be two engines for each of two
# versions so that the engines can take turns at loading. An engine loads as
# few models as this minimum allows because it carries out one order at a time,
# and items wait while it loads.
MIN_ENGINES_PER_MODEL = 4
# Each engine loads at least this many models. Trainers need unequal shares of
# the engines; if each engine loaded one model only, trainers with more items
# would have too few engines.
MIN_MODELS_PER_ENGINE = 2


class LoadPosition(typing.NamedTuple):
    """The rank of an engine among those that load a model's versions.

    Any order will do as long as all engines compute the same one.
    """

    rank: int
    replicas: int


def load_position(address, model, models, addresses):
    """Return the engine's `LoadPosition` for one model.

    Parameters
    ----------
    address : str or options.Address
        The engine.
    model : str
        The model.
    models : iterable of str
        All models whose versions engines of the service load.
    addresses : iterable
        All known engines of the service.

    Returns
    -------
    LoadPosition or None
        None if the model is assigned to other engines only.
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
    """Return the engines for a model's versions; all if there are few."""
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
    """Return the delay before the engine loads a version, None to skip it.

    An engine that was loaded for one step also serves the ``lag`` steps after
    it. So each engine loads only every ``lag + 1`` versions and the engines
    take turns, since a load costs 0.9 s without new work.

    Parameters
    ----------
    current : int
        The version that the engine has.
    wanted : int
        The version that the trainer has just named.
    lag : int or None
        How many versions behind the newest one the items of a trainer's steps
        may be made; None if unknown.
    position : LoadPosition or None
        Position of the engine, None if it isn't assigned to the model.
    """
    if position is None:
        return None
    period = (lag or 0) + 1
    if period == 1 or position.replicas < period * MIN_ENGINES_PER_VERSION:
        wave_size = max(1, int(MAX_LOADING_SHARE * position.replicas))
        return FIRST_LOAD_DELAY_S + LOAD_WAVE_S * (position.rank // wave_size)
    if current < wanted - lag:
        # The engine can't serve the trainer's steps until it has loaded.
        return 0.0
    is_own_turn = (position.rank + wanted) % period == 0
    return FIRST_LOAD_DELAY_S if is_own_turn else None
