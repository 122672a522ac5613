"""The daemon anvilwelld, with its entry and agent roles."""
