"""Membership: neighbour graph, failure detection, spread of changes."""
