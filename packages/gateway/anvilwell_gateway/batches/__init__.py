"""Batches: submission, execution, results and ownership at an entry."""
