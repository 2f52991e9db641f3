"""Connections to replicas that another instance relays, for an instance that is partitioned."""
