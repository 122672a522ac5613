"""The key-value service as the daemon's event loop sees it."""
