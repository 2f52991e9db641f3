"""InstanceInterface the platform's check, callers who ask where to connect, and operators."""

import abc
import http

from hornbeamglade.http1 import serverside
from hornbeamglade.membership import discovery
from hornbeamglade.platform import directorycalls

JSON = ((b"Content-Type", b"application/json"),)
METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"


class InstanceInterface(abc.ABC):
    """What an instance says of itself."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the instance takes callers."""

    @abc.abstractmethod
    def addresses(self, failure_domain: str, region: str) -> tuple[str, ...]:
        """Return where a caller is to connect."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Return the instruments in text."""

    @abc.abstractmethod
    def members(self) -> bytes:
        """Return the instances that this one knows, for one that starts."""

    @abc.abstractmethod
    def status(self) -> bytes:
        """Return the status page as JSON."""


class ControlHandler(serverside.Handler):
    """InstanceInterface everything but routed requests.

    :param instance: what the instance says.
    :param address_ttl_s: how long callers keep an answer.
    :param metrics_type: content type of the instruments' text.
    """

    def __init__(
        self, instance: InstanceInterface, address_ttl_s: float, metrics_type: str
    ) -> None:
        self._instance = instance
        self._address_ttl_s = address_ttl_s
        self._metrics_fields = ((b"Content-Type", metrics_type.encode()),)

    def limits(self) -> serverside.ConnectionLimits:
        """Return the limits of callers who only ask."""
        return serverside.ConnectionLimits(body_bytes=0)

    async def handle(self, exchange: serverside.Exchange) -> None:
        """Answer one request."""
        target = exchange.request.target
        query = directorycalls.question(target)
        if query is not None:
            addresses = self._instance.addresses(query.failure_domain, query.region)
            body = directorycalls.answer(addresses, self._address_ttl_s)
            # An answer without addresses counts as none: the caller asks another instance.
            status = http.HTTPStatus.OK if addresses else http.HTTPStatus.SERVICE_UNAVAILABLE
            await exchange.answer(status, JSON, body)
        elif directorycalls.is_readiness(target):
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
