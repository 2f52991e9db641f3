"""Which nodes there are, which replicas they own, and how one of them leaves."""
