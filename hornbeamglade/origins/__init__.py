"""The software versions at which streams began, as known to the instances.

- :mod:`hornbeamglade.origins.versions`: hashes that identify versions and streams
- :mod:`hornbeamglade.origins.origintable`: known origins, bounded in number and time
- :mod:`hornbeamglade.origins.versionhistory`: which versions of each service were listed, and when
- :mod:`hornbeamglade.origins.versionrows`: rows by which the history outlives all instances
- :mod:`hornbeamglade.origins.streamorigins`: the origins known to one instance, and its
  exchange with other instances
"""
