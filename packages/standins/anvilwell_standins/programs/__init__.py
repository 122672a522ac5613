"""Programs that use the service from outside: trainer and callers."""
