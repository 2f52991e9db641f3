"""Messages between entry nodes: codec, UDP transport, and grants to use a replica.

Its modules are imported one by one: an instance on an event loop needs none of the threaded
ones, and each import delays the start of service.
"""
