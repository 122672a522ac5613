"""HTTP/1.1 on one event loop; h11 keeps the protocol's rules."""
