"""Exhaustive disturbance of one exchange between an instance and a replica.

A soak draws faults at random; a sweep plays one fault at every byte of a response, on the first
request of a connection and on a kept one, and holds each case to what callers and replicas saw.

- :mod:`hornbeamglade.sweep.cases`: the cases, and what must hold in each
- :mod:`hornbeamglade.sweep.kinds`: the kinds of exchange, and the cases of each
- :mod:`hornbeamglade.sweep.sweepsite`: an instance and its servers in one process
- :mod:`hornbeamglade.sweep.waves`: cases that are played at once
- :mod:`hornbeamglade.sweep.running`: a whole sweep, and its table
"""
