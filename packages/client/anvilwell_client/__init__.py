"""The operators client anvilwell."""
