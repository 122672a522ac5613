"""Settings and documents: INI text that a typed schema describes."""
