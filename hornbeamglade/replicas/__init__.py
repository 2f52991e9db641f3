"""Which replicas there are, and what their answers show of them.

- :mod:`hornbeamglade.replicas.models`: one replica's entry in the platform's list
- :mod:`hornbeamglade.replicas.replicalist`: the list as this node knows it
- :mod:`hornbeamglade.replicas.evacuations`: failure domains that get no new work
- :mod:`hornbeamglade.replicas.slowstart`: how many requests a cold replica gets
- :mod:`hornbeamglade.replicas.ratelimits`: limits that replicas name in their answers
- :mod:`hornbeamglade.replicas.availability`: which replicas may get new work
- :mod:`hornbeamglade.replicas.startgate`: what keeps a request from starting at a replica
"""
