"""HTTP/1.1 over asyncio, with h11 as the parser.

Explanation
===========

The routed path needs details that a server or client library hides: bytes that arrive
after a response, a caller's disconnection while its request is in progress, an unfinished
body, the raw form of a request head. So this package handles the sockets and
:mod:`h11` the protocol.

- :mod:`hornbeamglade.http1.fields`: lists of header fields
- :mod:`hornbeamglade.http1.strictness`: ambiguous request heads
- :mod:`hornbeamglade.http1.statuslines`: status lines of responses
- :mod:`hornbeamglade.http1.callerrequests`: complete requests of callers, and their limits
- :mod:`hornbeamglade.http1.listeners`: settings and records of a listener
- :mod:`hornbeamglade.http1.receivebuffer`: what callers have sent and is not handled yet
- :mod:`hornbeamglade.http1.requestreader`: reads and parses their requests
- :mod:`hornbeamglade.http1.responsewriter`: responses written as fast as callers read
- :mod:`hornbeamglade.http1.exchanges`: requests of callers with their responses
- :mod:`hornbeamglade.http1.handlers`: what answers the requests of callers
- :mod:`hornbeamglade.http1.openconnections`: the connections of a listener and their requests
- :mod:`hornbeamglade.http1.callerconnection`: one connection from a caller
- :mod:`hornbeamglade.http1.callersserver`: accepts connections from callers
- :mod:`hornbeamglade.http1.clientside`: one connection to a backend server
- :mod:`hornbeamglade.http1.clientpool`: pool of connections to backend servers
"""
