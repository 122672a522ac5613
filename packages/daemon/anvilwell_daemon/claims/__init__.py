"""At most one execution of each non-idempotent request."""
