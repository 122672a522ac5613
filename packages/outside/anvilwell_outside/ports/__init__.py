"""Abstract base classes, one for each outside system."""
