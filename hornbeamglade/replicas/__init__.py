"""The list of replicas, and the conditions under which they receive requests.

- :mod:`hornbeamglade.replicas.models`: one replica's entry in the platform's list
- :mod:`hornbeamglade.replicas.replicalist`: the list as known to this node
- :mod:`hornbeamglade.replicas.evacuations`: failure domains that receive no new requests
- :mod:`hornbeamglade.replicas.departures`: the share of a service's engines that departs together
- :mod:`hornbeamglade.replicas.slowstart`: rate limiting of requests to cold replicas
- :mod:`hornbeamglade.replicas.advisories`: what replicas state about themselves in responses
- :mod:`hornbeamglade.replicas.backoffs`: times in which replicas accept nothing from an instance
- :mod:`hornbeamglade.replicas.ratelimits`: rate limits that replicas report in responses
- :mod:`hornbeamglade.replicas.sharedmachines`: services whose replicas share their machines
- :mod:`hornbeamglade.replicas.loadproblems`: malformed load reports of replicas
- :mod:`hornbeamglade.replicas.availability`: which replicas may receive new requests
- :mod:`hornbeamglade.replicas.startgate`: interface for refusing the start of a request
"""
