"""Leaderships that this daemon holds under one key-value lease."""
