"""Discovery of the other nodes, from their list in the store or from a seed node.

Explanation
===========

A node that starts while the store is unavailable, or refuses its requests, would know no
other node. Its settings therefore contain a few addresses of nodes that may be up, the
seeds. Each node responds there with the nodes that it knows.
"""

import collections.abc
import http

import pydantic
import urllib3

from hornbeamglade.http1 import wholeheads
from hornbeamglade.membership import view
from hornbeamglade.store import contract

PATH = "/members"
TIMEOUT_S = 0.5


class _Node(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    name: str
    failure_domain: str
    address: str
    exchange: str


class _Page(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    members: tuple[_Node, ...]


def members_page(members: collections.abc.Iterable[view.Member]) -> bytes:
    """Return the response body with the nodes that a node knows.

    :param members: all known nodes; those not live, such as leaving or gone ones, are
        left out.
    """
    identities = [each.identity for each in members if each.state is view.State.LIVE]
    nodes = tuple(
        _Node(
            name=identity.name,
            failure_domain=identity.failure_domain,
            address=identity.address,
            exchange=identity.exchange,
        )
        for identity in identities
    )
    return _Page(members=nodes).model_dump_json().encode()


class Discovery(contract.InstanceList):
    """The list in the store or, while the store is unavailable, the list of a seed node.

    :param store_list: the list in the store.
    :param seeds: ``ip:port`` of nodes that may be up.
    """

    def __init__(self, store_list: contract.InstanceList, seeds: tuple[str, ...]) -> None:
        self._store_list = store_list
        self._seeds = Seeds(seeds)

    def list(self) -> tuple[contract.Instance, ...] | contract.Unavailable:
        """Return the nodes listed in the store, or those that a seed knows."""
        listed = self._store_list.list()
        if not isinstance(listed, contract.Unavailable):
            return listed
        return self._seeds.fetch() or listed


class Seeds:
    """Nodes that may be up and know other nodes while the store is unavailable.

    :param addresses: ``ip:port`` of each seed.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._http = wholeheads.pool_manager(retries=False, timeout=TIMEOUT_S)

    def fetch(self) -> tuple[contract.Instance, ...]:
        """Return the nodes known to the first seed that responds; none if no seed responds."""
        for address in self._addresses:
            fetched = self._fetch_from(address)
            if fetched:
                return fetched
        return ()

    def _fetch_from(self, seed: str) -> tuple[contract.Instance, ...]:
        """Return the nodes that a seed knows; none if it does not respond."""
        try:
            response = self._http.request("GET", f"http://{seed}{PATH}", redirect=False)
            if response.status != http.HTTPStatus.OK:
                return ()
            nodes = _Page.model_validate_json(response.data).members
        except (urllib3.exceptions.HTTPError, OSError, pydantic.ValidationError):
            # The seed may have stopped long ago, and its address may be in use by another
            # server.
            return ()
        return tuple(
            contract.Instance(each.name, each.failure_domain, each.address, each.exchange, False)
            for each in nodes
        )
