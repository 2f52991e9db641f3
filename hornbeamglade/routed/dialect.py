"""Abstract translation between HTTP headers and the values of routed requests."""

import abc

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import callerrequests, clientside, fields
from hornbeamglade.routed import calls


class Dialect(abc.ABC):
    """Parses callers' requests and backend servers' responses, and writes request headers."""

    @abc.abstractmethod
    def parse_request(self, request: callerrequests.Request) -> calls.Call | outcomes.Refusal:
        """Parse a caller's request."""

    @abc.abstractmethod
    def dispatch_fields(self, call: calls.Call, dispatch: calls.Dispatch) -> fields.Fields:
        """Return the header fields to send with a request to a replica."""

    @abc.abstractmethod
    def parse_response_head(self, head: clientside.ResponseHead) -> calls.ResponseHead:
        """Parse the head of a replica's response."""
