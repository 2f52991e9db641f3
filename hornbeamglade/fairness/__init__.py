"""Waiting requests: order between teams and priorities, bounds, expiry."""
