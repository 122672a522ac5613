"""Fakes and simulations for tests of the gateway without a network."""
