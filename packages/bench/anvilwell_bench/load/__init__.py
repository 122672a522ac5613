"""Live callers and probes that record what they saw."""
