"""Stand-ins for tests of the gateway without network."""
