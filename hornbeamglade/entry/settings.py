"""What an entry instance is told at its start and at each change, from a YAML file."""

import pathlib
import typing

import pydantic
import yaml

from hornbeamglade.configuration import models as configurationmodels
from hornbeamglade.core import codederrors
from hornbeamglade.entry import policysettings

Address = configurationmodels.Address
Positive = typing.Annotated[float, pydantic.Field(gt=0)]
NotNegative = typing.Annotated[float, pydantic.Field(ge=0)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65_535)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listen(_Section):
    """Where the instance is called.

    :param callers: for routed requests.
    :param readiness: for the platform's checks.
    :param directory: for callers that ask where to connect; None if it does not answer them.
    :param control: for instances that start and know nobody; None if it does not answer them.
    :param metrics: where its instruments are read; None if they are not.
    """

    callers: Address
    readiness: Address
    directory: Address | None = None
    control: Address | None = None
    metrics: Address | None = None


class Budget(_Section):
    """The operator's bound on attempts beyond the first of each request.

    :param ratio: of the requests of a window.
    :param slack: beyond that, over all nodes.
    :param window_s: the window's length.
    """

    ratio: NotNegative
    slack: NotNegative
    window_s: Positive


class SlowStart(_Section):
    """The operator's bound on requests to a cold replica, over all instances.

    :param overage: times the rate that the service's replicas bear.
    :param tolerance: requests a second beyond that.
    """

    overage: Positive = 1.0
    tolerance: NotNegative = 0.0


class Bounds(_Section):
    """Times that the operator holds the system to, in seconds.

    :param stop_s: from the request to stop to the kill.
    :param address_ttl_s: the longest that callers keep an answer of the directory.
    """

    stop_s: Positive
    address_ttl_s: Positive


class Settings(_Section):
    """Settings of one entry instance.

    :param name: unique within the operator.
    :param host: the instance's IP number.
    :param failure_domain: where it stands.
    :param region: the region that the failure domain belongs to.
    :param listen: where it is called.
    :param exchange_ports: the first and last port that are free for traffic between nodes.
    :param seeds: addresses of nodes that may be up.
    :param store: address of the platform's store.
    :param budget: bound on attempts beyond the first.
    :param bounds: times.
    :param slow_start: bound on requests to a cold replica.
    :param region_by_failure_domain: every failure domain and its region.
    :param is_first_start: whether the whole site starts for the first time.
    :param policy: what decisions go by, where it differs from the usual.
    """

    name: str
    host: str
    failure_domain: str
    region: str
    listen: Listen
    exchange_ports: tuple[Port, Port]
    seeds: tuple[Address, ...] = ()
    store: Address
    budget: Budget
    bounds: Bounds
    slow_start: SlowStart = SlowStart()
    region_by_failure_domain: dict[str, str] = {}
    is_first_start: bool = False
    policy: policysettings.Policy = policysettings.Policy()


def read(path: str) -> str:
    """Return the text of a settings file.

    :raises CodedError: ``settings_unreadable``, naming the file.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise codederrors.CodedError("settings_unreadable", f"{path}: {error}") from error


def parse(text: str, path: str) -> Settings:
    """Check the text of a settings file.

    :param path: the file, for messages.
    :raises CodedError: ``settings_unreadable`` or ``settings_invalid``, naming the file,
        the field and the value.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise codederrors.CodedError("settings_unreadable", f"{path}: {error}") from error
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "file"
        detail = f"{path}: {where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError("settings_invalid", detail) from error
