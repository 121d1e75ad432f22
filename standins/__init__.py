"""Stand-ins for the platform and the workers, used by tests and the demo."""
