"""What lasts: a table of versioned rows and an object store, as the product needs them.

- :mod:`hornbeamglade.store.contract`: what is asked of an operator's platform
- :mod:`hornbeamglade.store.memory`: the same in memory, for tests and stand-ins
- :mod:`hornbeamglade.store.countedstore`: calls counted by outcome
"""
