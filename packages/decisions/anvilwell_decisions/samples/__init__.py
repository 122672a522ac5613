"""Decisions on the samples of training runs."""
