"""Keeps the services' documents agreed between all daemons."""
