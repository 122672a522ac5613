"""Membership of the fleet as the daemon sees and keeps it."""
