"""Grants: permission to start a request on a replica, given by the replica's owner."""
