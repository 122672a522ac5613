"""Keeps the daemon's view of the fleet's members up to date."""
