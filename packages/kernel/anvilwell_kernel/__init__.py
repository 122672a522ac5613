"""Named services, lifecycle, settings, messages and telemetry."""
