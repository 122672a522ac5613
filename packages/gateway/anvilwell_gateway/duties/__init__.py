"""What one VM at a time does for all: duties and their holder."""
