"""What the operator's configuration says of routed requests.

- :mod:`hornbeamglade.routes.models`: routes, services and limits, as values
- :mod:`hornbeamglade.routes.routetable`: which route a host and a path select
- :mod:`hornbeamglade.routes.splits`: which service of a split route a request goes to
- :mod:`hornbeamglade.routes.teamkeys`: which team holds a key
"""
