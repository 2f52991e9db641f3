"""Which replicas there are, and what their answers show of them.

- :mod:`hornbeamglade.replicas.models`: one replica's entry in the platform's list
- :mod:`hornbeamglade.replicas.replicalist`: the list as this node knows it
"""
