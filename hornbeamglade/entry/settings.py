"""An entry instance's settings, a YAML file read at its start and at each change."""

import pathlib
import typing

import pydantic
import yaml

from hornbeamglade.configuration import models as configurationmodels
from hornbeamglade.core import codederrors
from hornbeamglade.entry import policysettings
from hornbeamglade.exchange import wireformat

Address = configurationmodels.Address
Positive = typing.Annotated[float, pydantic.Field(gt=0)]
NotNegative = typing.Annotated[float, pydantic.Field(ge=0)]
Name = typing.Annotated[str, pydantic.AfterValidator(wireformat.checked_name)]
Count = typing.Annotated[int, pydantic.Field(ge=1)]
Descriptors = typing.Annotated[int, pydantic.Field(ge=128)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65_535)]


OPERATOR_LISTENERS = ("readiness", "control", "metrics")


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Listen(_Section):
    """The addresses on which the instance listens.

    :param callers: for routed requests.
    :param readiness: for the platform's readiness checks.
    :param directory: for callers' address lookups, or None to serve none.
    :param control: for instances that start and know no other, or None to serve none.
    :param metrics: for metrics scrapes, or None to serve none.
    """

    callers: Address
    readiness: Address
    directory: Address | None = None
    control: Address | None = None
    metrics: Address | None = None


class Budget(_Section):
    """The operator's limit on retries.

    :param ratio: retries allowed per request of a window.
    :param slack: retries allowed beyond that, over all nodes.
    :param window_s: length of the window, seconds.
    """

    ratio: NotNegative
    slack: NotNegative
    window_s: Positive


class SlowStart(_Section):
    """The operator's limit on requests to a cold replica, over all instances.

    :param overage: factor on the rate that the service's replicas sustain.
    :param tolerance: requests per second beyond that.
    """

    overage: Positive = 1.0
    tolerance: NotNegative = 0.0


class Bounds(_Section):
    """Time limits set by the operator, in seconds.

    :param stop_s: from the stop signal to the kill.
    :param address_ttl_s: the longest that callers cache the addresses of the directory.
    """

    stop_s: Positive
    address_ttl_s: Positive


class Limits(_Section):
    """Limits on connections; those that are absent follow from the descriptors and the memory.

    :param descriptors: descriptors that the process may use; None for its own limit.
    :param caller_connections: most connections of callers.
    :param directory_connections: most connections to the directory.
    :param operator_connections: most connections to each of the operators' addresses.
    :param replica_connections: most connections to replicas.
    """

    descriptors: Descriptors | None = None
    caller_connections: Count | None = None
    directory_connections: Count | None = None
    operator_connections: Count | None = None
    replica_connections: Count | None = None


class Settings(_Section):
    """Settings of one entry instance.

    :param name: unique within the operator.
    :param host: the instance's IP address.
    :param failure_domain: the instance's failure domain.
    :param region: the region of the failure domain.
    :param listen: listening addresses.
    :param exchange_ports: the first and last port available for traffic between nodes.
    :param seeds: addresses of nodes that may be up.
    :param store: address of the platform's store.
    :param budget: limit on retries.
    :param bounds: time limits.
    :param slow_start: limit on requests to a cold replica.
    :param region_by_failure_domain: every failure domain and its region.
    :param is_first_start: whether the whole site starts for the first time.
    :param policy: parameters of decisions, where they differ from the defaults.
    :param memory_mb: the instance's memory in MB, of which a share may be held for callers; None
        for no bound.
    :param limits: limits on connections.
    """

    name: Name
    host: str
    failure_domain: Name
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
    memory_mb: Positive | None = None
    limits: Limits = Limits()


def read(path: str) -> str:
    """Return the text of a settings file.

    :raises CodedError: ``settings_unreadable``, naming the file.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise codederrors.CodedError("settings_unreadable", f"{path}: {error}") from error


def parse(text: str, path: str) -> Settings:
    """Parse and validate the text of a settings file.

    :param path: the file, for messages.
    :raises CodedError: ``settings_unreadable`` or ``settings_invalid``, naming the file,
        the field and the value.
    """
    try:
        document = yaml.safe_load(text)
    # The parser converts numbers and dates without checks, and recurses into nested values.
    except (yaml.YAMLError, ValueError, AttributeError, RecursionError) as error:
        raise codederrors.CodedError("settings_unreadable", f"{path}: {error!s:.200}") from error
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "file"
        detail = f"{path}: {where}: {first['msg']}, not {_shown(first['input'])}"
        raise codederrors.CodedError("settings_invalid", detail) from error


def _shown(value: object) -> str:
    try:
        return f"{value!r:.80}"
    except ValueError:
        return "a number of too many digits"
