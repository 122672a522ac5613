"""The figures of each role, in one module each."""
