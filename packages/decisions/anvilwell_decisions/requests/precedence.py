"""What a priority is worth where places are short."""

# Each rank below the highest one gets so much of what the rank above it
# gets, when both want more than there is.
STEP = 0.5
# No rank gets less than this part of the highest one's: a quarter of the
# service of all is the least that anybody is promised.
LEAST_WEIGHT = 0.25
HIGHEST = 1.0


def weight(priority, highest):
    """Return the weight of a priority beside the `highest` one in force.

    Lower numbers rank higher. A priority that is above the highest one, as
    of another version of the configuration, counts as that.
    """
    ranks_below = max(0, priority - highest)
    return max(LEAST_WEIGHT, HIGHEST * STEP**ranks_below)


def highest(configuration):
    """Return the highest priority that a `facts.Configuration` gives."""
    given = [route.priority for route in configuration.routes]
    given += [
        one.priority
        for one in configuration.organisations
        if one.priority is not None
    ]
    return min(given, default=0)
