"""What all stand-ins share: record, faults, server and rate limit."""
