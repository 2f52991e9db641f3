"""Reverse proxy: forwards requests by host and path to replicas of the route's service.

Explanation
===========

An entry node has two request interfaces: this one, and the chat interface of
:mod:`hornbeamglade.callers`. Request bodies are forwarded byte for byte and never parsed.

- :mod:`hornbeamglade.routed.calls`: requests and responses as immutable values
- :mod:`hornbeamglade.routed.dialect`: abstract class that parses and writes their headers
- :mod:`hornbeamglade.routed.callrouter`: finds the route, team and service of a request
- :mod:`hornbeamglade.routed.bufferedexchange`: responses that are buffered and forwarded whole
- :mod:`hornbeamglade.routed.streamrun`: responses that are streamed event by event
- :mod:`hornbeamglade.routed.engineselector`: selects the engine that runs a streamed request
"""
