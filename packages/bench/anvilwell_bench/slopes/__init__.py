"""Measures the cost of each recurring act as a line in its size."""
