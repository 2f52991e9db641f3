"""Metrics, logs and the status page of an entry node."""
