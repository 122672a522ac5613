"""Adapters that speak each outside system's own protocol."""
