"""Randomized soak test with real processes, injected faults and checks of the guarantees.

Explanation
===========

A seed determines a plan of faults for a site of separate processes on loopback. Callers send
requests throughout, on persistent connections. Afterwards, the responses that they received
and the requests that backend servers ran are checked against the system's guarantees. Every
seed that ever failed is kept.

- :mod:`hornbeamglade.soak.soaksite`: the site, the proxies of its servers, the fault history
- :mod:`hornbeamglade.soak.faults`: the kinds of faults
- :mod:`hornbeamglade.soak.plan`: the faults of a seed, their times and durations
- :mod:`hornbeamglade.soak.callerpool`: the callers
- :mod:`hornbeamglade.soak.checks`: the checks of the guarantees
- :mod:`hornbeamglade.soak.running`: runs one seed from start to verdict
- :mod:`hornbeamglade.soak.skewedentry`: an instance whose wall clock can be shifted
- :mod:`hornbeamglade.soak.seeds`: seeds that have failed, with the cause of each
"""
