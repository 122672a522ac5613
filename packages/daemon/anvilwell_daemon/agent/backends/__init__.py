"""The backend servers that an agent can stand beside."""
