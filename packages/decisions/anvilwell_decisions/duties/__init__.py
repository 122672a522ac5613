"""Decisions about which VM carries out work that only one VM has to do."""
