"""Settings of one entry node, read at its start from a YAML file."""

import pathlib
from typing import Annotated

import pydantic
import yaml

from hornbeamglade.configuration import models
from hornbeamglade.core import codederrors
from hornbeamglade.node import inflight

MINIMUM_SECRET_CHARACTERS = 16


def _checked_address(address: str) -> str:
    """Return a checked ``ip:port``; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    if port == "0":
        models.checked_address(f"{host}:1")
    else:
        models.checked_address(address)
    return address


Address = Annotated[str, pydantic.AfterValidator(_checked_address)]


class ExchangeKey(pydantic.BaseModel):
    """A secret shared by a site's nodes; two are listed during a rotation.

    :param id: identifies the key in each frame.
    :param secret: at least 16 characters.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: Annotated[int, pydantic.Field(ge=0, le=255)]
    secret: Annotated[str, pydantic.Field(min_length=MINIMUM_SECRET_CHARACTERS)]


class NodeSettings(pydantic.BaseModel):
    """Settings of one entry node.

    :param name: unique within the operator, as in the platform's instance list.
    :param site: which overlay of the configuration applies.
    :param failure_domain: the failure domain of the instance.
    :param callers: ``ip:port`` to serve callers on.
    :param exchange: ``ip:port`` (UDP) for the other nodes.
    :param platform: base URL of the operator's platform.
    :param exchange_keys: the newest first; the first one signs, all are accepted.
    :param seeds: ``ip:port`` for callers of nodes that may be running; one of them is queried for
        the others while the platform's store is unavailable.
    :param threads: caller connections served at once.
    :param hard_stop_s: a planned stop aborts streams after this time; None never does.
    :param log: path for structured logs; None writes to standard error.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
    site: str
    failure_domain: str
    callers: Address
    exchange: Address
    platform: Annotated[str, pydantic.Field(pattern=r"^https?://")]
    exchange_keys: Annotated[tuple[ExchangeKey, ...], pydantic.Field(min_length=1, max_length=2)]
    seeds: tuple[Address, ...] = ()
    threads: Annotated[int, pydantic.Field(ge=8, le=4096)] = inflight.DEFAULT_THREADS
    hard_stop_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    log: str | None = None

    @pydantic.model_validator(mode="after")
    def _key_ids_differ(self) -> "NodeSettings":
        ids = [key.id for key in self.exchange_keys]
        if len(ids) != len(set(ids)):
            raise ValueError(f"two exchange keys have the id {ids[0]}")
        return self


def load(path: str) -> NodeSettings:
    """Read and check a settings file.

    :param path: a YAML file.
    :raises CodedError: ``settings_unreadable`` or ``settings_invalid``, naming the
        file and the key.
    """
    try:
        document = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise codederrors.CodedError("settings_unreadable", f"{path}: {error}") from error
    try:
        return NodeSettings.model_validate(document)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "file"
        detail = f"{path}: {where}: {first['msg']}"
        raise codederrors.CodedError("settings_invalid", detail) from error
