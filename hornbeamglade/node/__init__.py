"""The entry node: the one kind of daemon, the same on every instance."""
