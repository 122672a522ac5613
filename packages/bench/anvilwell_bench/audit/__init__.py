"""Checks the nine promises from what each party recorded."""
