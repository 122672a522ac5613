"""Ports: an abstract base class for each kind of outside system."""
