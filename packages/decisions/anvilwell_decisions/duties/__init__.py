"""Decisions about which VM does what one VM is enough for."""
