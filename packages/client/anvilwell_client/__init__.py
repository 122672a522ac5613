"""The operators' command line client, ``anvilwell``."""
