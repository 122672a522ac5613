"""Control links between daemons, and the listener they arrive on."""
