"""Decisions about batches: which items run next, and on which replicas."""
