"""Measures how changes of configuration reach many daemons."""
