"""Finding the other nodes: by their own list in the store, or by asking one of them.

Explanation
===========

A node that starts while the store is away, or while the store turns it away, would know
nobody. Its settings name a few addresses of nodes that may be up; each node answers
there with those that it knows.
"""

import collections.abc

import pydantic
import urllib3

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
    """Return what a node answers to those that ask whom it knows.

    :param members: all known nodes; those that leave or are gone are left out.
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
    """The list in the store, or while it is away that of a node that answers.

    :param listed: the list in the store.
    :param seeds: ``ip:port`` of nodes that may be up.
    """

    def __init__(self, listed: contract.InstanceList, seeds: tuple[str, ...]) -> None:
        self._listed = listed
        self._seeds = Seeds(seeds)

    def list(self) -> tuple[contract.Instance, ...] | contract.Unavailable:
        """Return the nodes that are listed, or those that a seed knows."""
        listed = self._listed.list()
        if not isinstance(listed, contract.Unavailable):
            return listed
        return self._seeds.fetch() or listed


class Seeds:
    """Nodes that may be up, and know others while the store is away.

    :param addresses: ``ip:port`` of each.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def fetch(self) -> tuple[contract.Instance, ...]:
        """Return the nodes that the first seed that answers knows; none when none does."""
        for address in self._addresses:
            fetched = self._fetch_from(address)
            if fetched:
                return fetched
        return ()

    def _fetch_from(self, seed: str) -> tuple[contract.Instance, ...]:
        """Return the nodes that a seed knows; none when it does not answer."""
        try:
            answer = self._http.request("GET", f"http://{seed}{PATH}")
            nodes = _Page.model_validate_json(answer.data).members
        except (urllib3.exceptions.HTTPError, OSError, pydantic.ValidationError):
            # A seed may be long gone, or its address belong to something else by now.
            return ()
        return tuple(
            contract.Instance(each.name, each.failure_domain, each.address, each.exchange, False)
            for each in nodes
        )
