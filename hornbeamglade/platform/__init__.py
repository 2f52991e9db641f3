"""The operators' platform: its names, formats and calls, decoded into our types.

Nothing here decides anything, and nothing outside of it knows the platform's names.
"""
