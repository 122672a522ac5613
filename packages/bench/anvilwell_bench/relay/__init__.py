"""What entry and agent cost, against calls straight to an engine."""
