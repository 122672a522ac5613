"""Weight rollout as daemons carry it out."""
