"""The gateway's roles: entries serve callers, agents update engines.

Each process runs on one event loop and uses the platform's key-value store.
"""
