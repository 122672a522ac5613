"""Decisions on one request: where, when, again, and at most once."""
