"""Requests that crash the replicas that run them.

- :mod:`hornbeamglade.quarantine.fingerprints`: what makes two requests the same
- :mod:`hornbeamglade.quarantine.crashdetector`: which lost runs were ended by a crash
"""
