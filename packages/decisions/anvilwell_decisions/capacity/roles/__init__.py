"""The rows of each role, one module a role."""
