"""Adapters that implement the ports over each system's own protocol."""
