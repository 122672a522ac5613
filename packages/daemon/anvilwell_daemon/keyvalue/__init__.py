"""Access to the key-value service from the daemon's event loop."""
