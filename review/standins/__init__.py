"""Stand-ins for the platform, its replicas and its consumers."""
