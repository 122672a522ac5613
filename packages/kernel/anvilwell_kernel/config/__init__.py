"""Settings and documents in INI with a declared, typed schema."""
