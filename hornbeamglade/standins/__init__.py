"""Stand-ins that implement the protocols of external systems, for tests and the demo."""
