"""Quarantine of requests that crash the replicas that run them.

- :mod:`hornbeamglade.quarantine.fingerprints`: hashes that identify equal requests
- :mod:`hornbeamglade.quarantine.crashdetector`: which lost runs were ended by a crash
- :mod:`hornbeamglade.quarantine.lostruns`: lost runs, as values
- :mod:`hornbeamglade.quarantine.crashledger`: how many replicas each request has crashed
- :mod:`hornbeamglade.quarantine.partevidence`: which part of the prompts is taken for the cause
  of crashes
- :mod:`hornbeamglade.quarantine.partquarantine`: the evidence on parts of one instance, and its
  exchange with other instances
- :mod:`hornbeamglade.quarantine.completions`: requests that were completed recently
- :mod:`hornbeamglade.quarantine.quarantinelist`: the requests in quarantine
- :mod:`hornbeamglade.quarantine.quarantinerows`: their rows in the store
- :mod:`hornbeamglade.quarantine.quarantinewriter`: writes these rows
- :mod:`hornbeamglade.quarantine.retransmissions`: scheduling of retransmitted messages
- :mod:`hornbeamglade.quarantine.requestquarantine`: the quarantine of one
  instance, and its exchange with other instances
"""
