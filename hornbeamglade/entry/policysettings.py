"""The tunable parameters of an instance's decisions, which trials vary as one value."""

import json

import pydantic
import yaml

from hornbeamglade.core import codederrors

VARIANT_INVALID = "variant_invalid"


class Policy(pydantic.BaseModel):
    """Parameters of an instance's decisions.

    :param horizons: numbers of tokens from now at which an engine's memory must suffice.
    :param margin_start: initial memory margin, in standard deviations.
    :param margin_least: lower limit when the margin adapts to observed preemptions.
    :param expected_answer_tokens: assumed length of an answer before any was observed.
    :param placement_s: seconds that a request just placed adds to an engine's expected wait:
        the time to prefill a prompt of about 2,500 tokens.
    :param compared_engines: engines of other owners that are compared for a request. Their
        state is at most half a second old and their owners grant only actual capacity, so few
        of many requests are refused.
    :param least_retry_s: shortest retry delay given to refused callers, seconds.
    :param most_retry_s: longest retry delay, seconds.
    :param moves_runs: whether runs migrate away from an engine that will stop.
    :param keeps_headroom: whether new requests leave memory for runs of departing engines.
    :param arrivals_in_turn: whether an engine receives only one such run at a time.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    horizons: tuple[pydantic.NonNegativeInt, ...] = (0, 100, 250, 500)
    margin_start: pydantic.PositiveFloat = 1.0
    margin_least: pydantic.PositiveFloat = 0.7
    expected_answer_tokens: pydantic.PositiveInt = 400
    placement_s: pydantic.NonNegativeFloat = 0.35
    compared_engines: pydantic.PositiveInt = 8
    least_retry_s: pydantic.PositiveFloat = 0.3
    most_retry_s: pydantic.PositiveFloat = 3.0
    moves_runs: bool = True
    keeps_headroom: bool = True
    arrivals_in_turn: bool = True


def parse_variant(text: str) -> tuple[str, Policy]:
    """Parse a variant: its name, and the fields in which it differs.

    :param text: YAML, a mapping of one name to fields.
    :raises CodedError: ``variant_invalid``, naming what is wrong.

    Examples
    ========

    >>> name, chosen = parse_variant("still: {moves_runs: false}")
    >>> name, chosen.moves_runs, chosen.placement_s
    ('still', False, 0.35)
    """
    try:
        parsed = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise codederrors.CodedError(VARIANT_INVALID, f"{text!r:.80}: not valid YAML") from error
    if not isinstance(parsed, dict) or len(parsed) != 1:
        raise codederrors.CodedError(
            VARIANT_INVALID, f"{text!r:.80}: expected NAME: {{FIELD: VALUE}}"
        )
    ((name, fields),) = parsed.items()
    if not isinstance(name, str) or not name.isidentifier():
        raise codederrors.CodedError(VARIANT_INVALID, f"{name!r:.80}: not a valid identifier")
    try:
        return name, Policy.model_validate(fields or {})
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or name
        detail = f"{name}: {where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError(VARIANT_INVALID, detail) from error


def as_settings_section(policy: Policy) -> str:
    r"""Return the settings section for a policy: the fields that differ, often none.

    Examples
    ========

    >>> as_settings_section(Policy(placement_s=0.5))
    'policy: {"placement_s": 0.5}\n'
    >>> as_settings_section(Policy())
    ''
    """
    fields = policy.model_dump(mode="json", exclude_defaults=True)
    return f"policy: {json.dumps(fields)}\n" if fields else ""
