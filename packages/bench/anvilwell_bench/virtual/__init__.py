"""Measurements of the pure decisions in seeded virtual time."""
