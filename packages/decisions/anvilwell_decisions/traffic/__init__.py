"""Decisions about the route, service and replica for a caller's request."""
