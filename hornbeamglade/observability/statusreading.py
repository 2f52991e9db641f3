"""Reads the status pages of many nodes."""

import concurrent.futures
import dataclasses
import http

import pydantic
import urllib3

from hornbeamglade.http1 import wholeheads
from hornbeamglade.observability import statuspage

STATUS_PATH = "/status"
READ_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 4 * 1024 * 1024
_MAX_THREADS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReading:
    """The result of reading one node's status page.

    :param address: ``ip:port`` that the page was requested from.
    :param status: the node's page, or None when it could not be read.
    :param problem: why there is no page; empty when there is one.
    """

    address: str
    status: statuspage.NodeStatus | None
    problem: str = ""


def read_all(
    addresses: tuple[str, ...], timeout_s: float = READ_TIMEOUT_S
) -> tuple[NodeReading, ...]:
    """Read the pages of all nodes concurrently; the results have the order of ``addresses``."""
    with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as executor:
        return tuple(executor.map(lambda address: read(address, timeout_s), addresses))


def read(address: str, timeout_s: float = READ_TIMEOUT_S) -> NodeReading:
    """Read the page of one node; a failure is returned, not raised.

    :param address: ``ip:port`` on which the node serves callers.
    :param timeout_s: timeout of the connection and of each read, in seconds.
    """
    pool = wholeheads.pool_manager(retries=False)
    try:
        response = pool.request(
            "GET", f"http://{address}{STATUS_PATH}", timeout=timeout_s, preload_content=False
        )
        page = response.read(MAX_PAGE_BYTES + 1)
        response.close()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return NodeReading(address, None, type(error).__name__)
    finally:
        pool.clear()
    if response.status != http.HTTPStatus.OK:
        return NodeReading(address, None, f"status {response.status}")
    if len(page) > MAX_PAGE_BYTES:
        return NodeReading(address, None, "page too large")
    try:
        return NodeReading(address, statuspage.NodeStatus.model_validate_json(page))
    except pydantic.ValidationError as error:
        return NodeReading(address, None, f"page not understood ({error.error_count()} errors)")
