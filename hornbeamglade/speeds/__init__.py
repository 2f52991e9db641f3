"""Paces of engines: measured by the nodes that relay streams, kept by the engines' owners."""
