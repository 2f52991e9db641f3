"""How routed requests and answers are written, behind abstract classes."""

import abc

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import clientside, fields, serverside
from hornbeamglade.routed import calls


class Dialect(abc.ABC):
    """Reads callers' requests and backend servers' answers, and writes for both."""

    @abc.abstractmethod
    def parse_request(self, request: serverside.Request) -> calls.Call | outcomes.Refusal:
        """Read a caller's request."""

    @abc.abstractmethod
    def dispatch_fields(self, call: calls.Call, dispatch: calls.Dispatch) -> fields.Fields:
        """Return the fields with which a request goes to a replica."""

    @abc.abstractmethod
    def parse_response_head(self, head: clientside.Head) -> calls.ResponseHead:
        """Read the head of a replica's answer."""
