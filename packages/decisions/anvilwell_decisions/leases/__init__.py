"""Leases, the fencing numbers they give, and the door that checks them."""
