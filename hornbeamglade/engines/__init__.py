"""Control calls to model engines: load reports and KV cache copies.

- :mod:`hornbeamglade.engines.models`: reports and results of copies, as values
- :mod:`hornbeamglade.engines.control`: the abstract class of the calls
- :mod:`hornbeamglade.engines.reportpoller`: polls the reports of a set of engines
"""
