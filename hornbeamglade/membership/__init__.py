"""Cluster membership, ownership of replicas, and the planned stop of a node."""
