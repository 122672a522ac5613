"""What membership and leases cost, measured with real daemons."""
