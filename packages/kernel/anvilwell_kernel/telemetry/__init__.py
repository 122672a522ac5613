"""The logs and metrics of a process."""
