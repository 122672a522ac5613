"""A model engine with continuous batching."""
