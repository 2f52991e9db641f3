"""Request queues: fair order among teams and priorities, limits, expiry."""
