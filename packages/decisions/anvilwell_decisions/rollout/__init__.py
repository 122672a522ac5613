"""Weight rollout: what the leader orders and what an agent does."""
