"""Placing requests: the choice of a replica, prompt prefixes, outlier detection."""
