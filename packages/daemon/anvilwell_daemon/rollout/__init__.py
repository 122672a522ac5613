"""Rolls out new model versions to the engines of a service."""
