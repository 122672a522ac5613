"""Collects and schedules the samples of training runs, without I/O."""
