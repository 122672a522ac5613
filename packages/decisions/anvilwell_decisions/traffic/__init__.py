"""Which route, service and replica a caller's request goes to."""
