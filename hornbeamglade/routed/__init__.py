"""Routed requests: from a caller's host and path to a replica of the route's service.

Explanation
===========

One of the two faces of an entry node; the other is the chat interface of
:mod:`hornbeamglade.callers`. A request is passed on byte for byte, so nothing here
reads or writes a body.

- :mod:`hornbeamglade.routed.calls`: requests and answers, as values
- :mod:`hornbeamglade.routed.dialect`: how they are written, behind an abstract class
- :mod:`hornbeamglade.routed.callrouter`: route, team and service of a request
- :mod:`hornbeamglade.routed.bufferedexchange`: whole answers
- :mod:`hornbeamglade.routed.streamrun`: streams of events
- :mod:`hornbeamglade.routed.placefinder`: the engines that they run at
"""
