"""The interface for callers: reads HTTP requests, sends streams and truthful refusals."""
