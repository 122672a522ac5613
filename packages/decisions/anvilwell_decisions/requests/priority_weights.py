"""Weights of priorities for sharing scarce capacity."""

# While capacity is scarce, each rank below the highest one gets this share of
# what the rank above it gets.
WEIGHT_STEP = 0.5
# Smallest weight of a priority, relative to the highest rank. Every caller is
# promised at least a quarter of the average service.
MIN_WEIGHT = 0.25
MAX_WEIGHT = 1.0


def weight(priority, highest_priority):
    """Return the weight of a priority, given the `highest_priority` in use.

    Lower numbers rank higher. A priority above the highest one, which can come
    from another version of the configuration, gets the weight of the highest.
    """
    ranks_below = max(0, priority - highest_priority)
    return max(MIN_WEIGHT, MAX_WEIGHT * WEIGHT_STEP**ranks_below)


def highest_priority(configuration):
    """Return the highest priority in a `facts.Configuration`."""
    priorities = [route.priority for route in configuration.routes]
    priorities += [
        organisation.priority
        for organisation in configuration.organisations
        if organisation.priority is not None
    ]
    return min(priorities, default=0)
