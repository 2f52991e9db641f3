"""Benchmarks of scheduling policies, relay cost, load and fault recovery."""
