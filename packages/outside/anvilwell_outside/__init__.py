"""Ports to outside systems, and the adapters that implement them."""
