"""Messages between entry nodes: codec, datagrams, and grants to use a replica.

Its modules are imported one by one: an instance on an event loop uses none of the threaded
ones, and what it imports is time until it serves.
"""
