"""The node's HTTP client for backend servers."""
