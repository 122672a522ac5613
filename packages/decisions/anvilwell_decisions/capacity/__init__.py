"""Capacity worked out from measured slopes."""
