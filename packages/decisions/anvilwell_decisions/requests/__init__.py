"""Decisions about single requests: routing, admission, retries, claims."""
