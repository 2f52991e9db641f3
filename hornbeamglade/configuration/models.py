"""The effective configuration of one site, as immutable values.

Explanation
===========

Each class is a plain frozen data class that is used throughout. Its annotations
contain the constraints that :mod:`hornbeamglade.configuration.documents` validates
with pydantic when a document is loaded, so each field is declared once. In the YAML
files a collection is named in the plural (``services``); here it is named by its
value and key (``service_by_name``).

Examples
========

>>> Service(kind="plain", pool="counter", repeatable=False).total_s
900.0
>>> Team(key_hashes=(), services=("drafts",)).may_call("tags")
False
"""

import collections.abc
import dataclasses
import ipaddress
import typing

import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9_.-]{0,62}$"
KEY_HASH_PATTERN = r"^sha256:[0-9a-f]{64}$"
HIGHEST_PRIORITY = 9
LARGEST_PORT = 65_535
LONGEST_S = 86_400.0
LARGEST_COUNT = 1_000_000_000

_STRICT = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False, strict=False)


def checked_address(address: str) -> str:
    """Return ``address`` if it is an IP address with a port.

    :param address: ``192.0.2.1:8000`` or ``[2001:db8::1]:8000``.
    :raises ValueError: when it is anything else, such as a host name.

    Examples
    ========

    >>> checked_address("192.0.2.1:8000")
    '192.0.2.1:8000'
    >>> checked_address("engine-1:8000")
    Traceback (most recent call last):
    ...
    ValueError: expected ip:port, not 'engine-1:8000'
    """
    host, _, port = address.rpartition(":")
    message = f"expected ip:port, not {address!r:.80}"
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(LARGEST_PORT))
    if not is_number or not 0 < int(port) <= LARGEST_PORT:
        raise ValueError(message)
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(message) from None
    if bracketed != (number.version == 6):
        raise ValueError(message)
    return address


Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Address = typing.Annotated[str, pydantic.AfterValidator(checked_address)]
KeyHash = typing.Annotated[str, pydantic.Field(pattern=KEY_HASH_PATTERN)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=LONGEST_S, strict=True)]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=LARGEST_COUNT, strict=True)]
PolicyName = typing.Literal["probabilistic", "present_memory", "least_outstanding"]
Flag = typing.Annotated[bool, pydantic.Field(strict=True)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers request by name: generations of a model, or a plain service.

    :param kind: ``generation`` or ``plain``.
    :param pool: the pool whose replicas serve it.
    :param model: the value of ``model`` in callers' requests; for generations only.
    :param repeatable: whether a request may be run again after a failure.
    :param first_token_s: seconds to wait for the first token (or response head).
    :param progress_s: seconds without a token or keep-alive after which a connection
        counts as stalled.
    :param queue_s: seconds that a request may wait for free capacity before it is refused.
    :param total_s: the total timeout of a request, in seconds.
    :param max_prompt_tokens: longer prompts are refused.
    :param max_body_bytes: larger request bodies are refused.
    :param resume: whether the replicas can resume a stream.
    :param idempotency_key: whether callers must send an ``Idempotency-Key``.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    kind: typing.Literal["generation", "plain"]
    pool: Name
    model: typing.Annotated[str, pydantic.Field(min_length=1, max_length=200)] | None = None
    repeatable: Flag = True
    first_token_s: Seconds = 20.0
    progress_s: Seconds = 5.0
    queue_s: typing.Annotated[float, pydantic.Field(ge=0, le=LONGEST_S, strict=True)] = 3.0
    total_s: Seconds = 900.0
    max_prompt_tokens: Count = 32_768
    max_body_bytes: Count = 1_048_576
    resume: Flag = True
    idempotency_key: typing.Literal["optional", "required"] = "optional"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """One backend server of a pool.

    :param address: ``ip:port``.
    :param failure_domain: the failure domain that it is in.
    :param memory_tokens: tokens that its KV cache holds; None for a plain service.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    address: Address
    failure_domain: Name
    memory_tokens: Count | None = None
    checks_fencing: Flag = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """The state that every engine of a pool is ordered to load.

    :param models: names of models, with their version where one is named.
    :param adapters: names of adapters.
    :param role: the engine's role, such as ``mixed`` or ``decode``.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    role: Name = "mixed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """How requests are admitted to the engines of a pool.

    :param policy: ``probabilistic`` accounts for the expected growth of running
        requests; ``present_memory`` admits a request while the memory in use leaves
        enough free for its prompt; ``least_outstanding`` admits all, for comparison.
    :param overflow_z: standard deviations of the expected growth that must fit in
        memory; larger values make overflow less likely.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    policy: typing.Literal["probabilistic", "present_memory", "least_outstanding"] = (
        "probabilistic"
    )
    overflow_z: typing.Annotated[float, pydantic.Field(ge=0, le=4, strict=True)] = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """The maximum length of the queue of one replica of a pool.

    :param max_waiting: for all teams together.
    :param max_waiting_per_team: for any one team.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    max_waiting: Count = 64
    max_waiting_per_team: Count = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A model pool, or the backend servers of a plain service.

    :param replica_by_name: its backend servers.
    :param wanted: the state that its engines are ordered to load; None for no orders.
    :param admission: how requests are admitted.
    :param queue: the maximum length of the queues.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    replica_by_name: typing.Annotated[
        collections.abc.Mapping[Name, Replica], pydantic.Field(alias="replicas")
    ]
    wanted: Wanted | None = None
    admission: Admission = Admission()
    queue: Queue = Queue()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers, its share and its limits.

    :param key_hashes: digests of the keys that its callers use.
    :param weight: its share relative to other teams of the same priority.
    :param priority: larger is more urgent.
    :param requests_in_flight: its limit at the site.
    :param tokens_in_flight: its limit at the site, including prompts.
    :param services: names of the services that it may call, or ``all``.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    key_hashes: tuple[KeyHash, ...]
    weight: typing.Annotated[float, pydantic.Field(gt=0, le=1000, strict=True)] = 1.0
    priority: typing.Annotated[int, pydantic.Field(ge=0, le=HIGHEST_PRIORITY, strict=True)] = 0
    requests_in_flight: Count = 64
    tokens_in_flight: Count = 200_000
    services: tuple[Name, ...] | typing.Literal["all"] = "all"

    def may_call(self, service: str) -> bool:
        """Return whether the team may call ``service``."""
        return self.services == "all" or service in self.services


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """The addresses of nodes that callers look up.

    :param ttl_s: seconds that callers may cache the response.
    :param per_team: addresses in a response.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    ttl_s: typing.Annotated[int, pydantic.Field(ge=1, le=3600, strict=True)] = 30
    per_team: Count = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """Limits of one entry node.

    :param max_streams: the maximum of requests in flight at one node.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    max_streams: Count = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteConfiguration:
    """The effective configuration of one site: the base with its overlay applied.

    :param site: the site's name.
    :param service_by_name: its services.
    :param pool_by_name: its pools.
    :param team_by_name: its teams.
    :param addresses: the addresses that callers look up.
    :param node: limits of an entry node.
    """

    __pydantic_config__: typing.ClassVar = _STRICT

    site: Name
    service_by_name: typing.Annotated[
        collections.abc.Mapping[Name, Service], pydantic.Field(alias="services")
    ]
    pool_by_name: typing.Annotated[
        collections.abc.Mapping[Name, Pool], pydantic.Field(alias="pools")
    ]
    team_by_name: typing.Annotated[
        collections.abc.Mapping[Name, Team], pydantic.Field(alias="teams")
    ]
    addresses: Addresses = Addresses()
    node: Node = Node()
