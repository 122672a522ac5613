"""Duties: work that one entry at a time does for all, under a lease."""
