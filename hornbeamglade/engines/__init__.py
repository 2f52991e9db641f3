"""Model engines beside their streams: what they report, and copies of runs' memory.

- :mod:`hornbeamglade.engines.models`: reports and copies, as values
- :mod:`hornbeamglade.engines.control`: the calls, behind an abstract class
- :mod:`hornbeamglade.engines.reportpoller`: reads the reports of the replicas it is given
"""
