"""Calculates the capacity that a fleet needs from measured costs."""
