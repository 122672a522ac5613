"""Elects leaders and keeps leaderships under one key-value lease."""
