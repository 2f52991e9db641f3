"""The operator's configuration of routes.

- :mod:`hornbeamglade.routes.models`: routes, services and limits, as values
- :mod:`hornbeamglade.routes.objectives`: whether the objectives of a service's routes differ
- :mod:`hornbeamglade.routes.routetable`: selects the route for a host and a path
- :mod:`hornbeamglade.routes.splits`: selects the service of a route for a request
- :mod:`hornbeamglade.routes.teamkeys`: finds the team that holds a key
"""
