"""Decisions about what to do while a part of the platform is unreachable."""
