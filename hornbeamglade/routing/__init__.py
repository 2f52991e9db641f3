"""Routing of requests: choice of a replica, prompt prefixes and outlier detection."""
