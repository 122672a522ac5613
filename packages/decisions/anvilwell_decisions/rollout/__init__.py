"""Rollout of model weights: the decisions of the leader and the agents."""
