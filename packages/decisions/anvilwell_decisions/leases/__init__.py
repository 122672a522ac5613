"""Leases, their fencing numbers, and the gate that checks these."""
