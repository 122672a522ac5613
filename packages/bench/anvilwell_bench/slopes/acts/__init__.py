"""The recurring acts of each role, one module a role."""
