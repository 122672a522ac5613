"""What all processes share: services, settings, messages, telemetry."""
