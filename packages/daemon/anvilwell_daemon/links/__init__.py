"""Multiplexed websocket links between entries and agents."""
