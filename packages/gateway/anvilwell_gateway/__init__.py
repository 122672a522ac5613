"""Entry and agent on one event loop, beside a platform's store."""
