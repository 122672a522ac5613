"""Ports to the outside systems and their adapters."""
