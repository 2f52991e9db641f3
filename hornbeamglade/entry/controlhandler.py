"""Handles readiness checks, callers' address lookups, metrics and operators' requests."""

import abc
import http

from hornbeamglade.http1 import callerrequests, exchanges, handlers
from hornbeamglade.membership import discovery
from hornbeamglade.platform import directorycalls

JSON = ((b"Content-Type", b"application/json"),)
METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"


class InstanceInterface(abc.ABC):
    """What the control endpoints need from an instance."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether the instance accepts callers."""

    @abc.abstractmethod
    def addresses(self, failure_domain: str, region: str) -> tuple[str, ...]:
        """Return the addresses that a caller should connect to."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Return the metrics in text exposition format."""

    @abc.abstractmethod
    def members(self) -> bytes:
        """Return the known instances, for an instance that is starting."""

    @abc.abstractmethod
    def status(self) -> bytes:
        """Return the status page as JSON."""


class ControlHandler(handlers.Handler):
    """Handles everything but routed requests.

    :param instance: the instance that the endpoints describe.
    :param address_ttl_s: seconds for which callers cache the addresses.
    :param metrics_type: content type of the metrics page.
    """

    def __init__(
        self, instance: InstanceInterface, address_ttl_s: float, metrics_type: str
    ) -> None:
        self._instance = instance
        self._address_ttl_s = address_ttl_s
        self._metrics_fields = ((b"Content-Type", metrics_type.encode()),)

    def limits(self) -> callerrequests.ConnectionLimits:
        """Return connection limits that allow no request body."""
        return callerrequests.ConnectionLimits(body_bytes=0)

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        target = exchange.request.target
        query = directorycalls.parse_query(target)
        if query is not None:
            addresses = self._instance.addresses(query.failure_domain, query.region)
            body = directorycalls.encode_response(addresses, self._address_ttl_s)
            # Callers treat an empty list as a failure and ask another instance.
            status = http.HTTPStatus.OK if addresses else http.HTTPStatus.SERVICE_UNAVAILABLE
            await exchange.answer(status, JSON, body)
        elif directorycalls.is_readiness_check(target):
            ready, unready = http.HTTPStatus.OK, http.HTTPStatus.SERVICE_UNAVAILABLE
            await exchange.answer(ready if self._instance.is_ready() else unready)
        elif target == METRICS_PATH:
            await exchange.answer(200, self._metrics_fields, self._instance.metrics())
        elif target == discovery.PATH.encode():
            await exchange.answer(200, JSON, self._instance.members())
        elif target == STATUS_PATH:
            await exchange.answer(200, JSON, self._instance.status())
        else:
            await exchange.answer(http.HTTPStatus.NOT_FOUND)
