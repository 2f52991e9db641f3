"""HTTP/1.1 over asyncio, with h11 as the parser.

Explanation
===========

The routed path must see what a server or client library hides: bytes that come after
an answer, a caller's close while its request is under way, a body that the other side
still owes, the raw form of a request's head. So this package keeps the sockets and
:mod:`h11` the protocol.

- :mod:`hornbeamglade.http1.fields`: lists of header fields
- :mod:`hornbeamglade.http1.strictness`: heads that may be read in two ways
- :mod:`hornbeamglade.http1.serverside`: connections of callers
- :mod:`hornbeamglade.http1.clientside`: one connection to a backend server
- :mod:`hornbeamglade.http1.clientpool`: kept connections to backend servers
"""
