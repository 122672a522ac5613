"""What faces callers: HTTP, routing, retries and streams."""
