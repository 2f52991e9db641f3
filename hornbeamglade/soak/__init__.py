"""A randomized soak: real processes, faults from outside, promises checked by what is seen.

Explanation
===========

A seed names a plan of faults on a site of separate processes on loopback. Callers go on all
the while, with connections that they keep; what they saw and what backend servers ran is
then held against what the system promises. A seed that ever failed is kept.

- :mod:`hornbeamglade.soak.soaksite`: the site, the links before its servers, and what was done
- :mod:`hornbeamglade.soak.faults`: the kinds of faults
- :mod:`hornbeamglade.soak.plan`: which faults a seed brings, when and for how long
- :mod:`hornbeamglade.soak.callerpool`: callers
- :mod:`hornbeamglade.soak.checks`: the promises
- :mod:`hornbeamglade.soak.running`: one seed from start to verdict
- :mod:`hornbeamglade.soak.skewedentry`: an instance whose wall clock can be moved
- :mod:`hornbeamglade.soak.seeds`: seeds that have failed, with the cause of each
"""
