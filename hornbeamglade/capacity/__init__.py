"""Measured cost slopes and their extrapolation to the target size."""
