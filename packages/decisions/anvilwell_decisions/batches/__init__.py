"""Batches: what is listed, what runs next and where."""
