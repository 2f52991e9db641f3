"""Durable storage: a table of versioned rows and an object store.

- :mod:`hornbeamglade.store.contract`: the interface that an operator's platform implements
- :mod:`hornbeamglade.store.memory`: an in-memory implementation for tests and stand-ins
- :mod:`hornbeamglade.store.countedstore`: a wrapper that counts calls by outcome
"""
