"""Batches: accepted once, run, listed, read everywhere."""
