"""What a priority is worth where places are short."""

# Each rank below the highest one gets so much of what the rank above it
# gets, when both want more than there is.
WEIGHT_STEP = 0.5
# No rank gets less than this part of the highest one's: a quarter of the
# service of all is the least that anybody is promised.
MIN_WEIGHT = 0.25
MAX_WEIGHT = 1.0


def weight(priority, highest_priority):
    """Return the weight of a priority beside the `highest` one in force.

    Lower numbers rank higher. A priority that is above the highest one, as
    of another version of the configuration, counts as that.
    """
    ranks_below = max(0, priority - highest_priority)
    return max(MIN_WEIGHT, MAX_WEIGHT * WEIGHT_STEP**ranks_below)


def highest_priority(configuration):
    """Return the highest priority that a `facts.Configuration` gives."""
    priorities = [route.priority for route in configuration.routes]
    priorities += [
        organisation.priority
        for organisation in configuration.organisations
        if organisation.priority is not None
    ]
    return min(priorities, default=0)
