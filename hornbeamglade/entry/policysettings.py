"""What an instance's decisions go by, as one value that can be varied in trials."""

import json

import pydantic
import yaml

from hornbeamglade.core import codederrors

VARIANT_INVALID = "variant_invalid"


class Policy(pydantic.BaseModel):
    """The settings of an instance's decisions.

    :param horizons: tokens from now at which an engine's memory must suffice.
    :param margin_start: deviations of memory kept free at first.
    :param margin_least: the least that preemptions seen may narrow them to.
    :param expected_answer_tokens: an answer's length before any was seen.
    :param placement_s: seconds that a request placed just now adds to an engine's wait: the
        time to read a prompt of some 2,500 tokens.
    :param compared_engines: engines of other owners that a request compares. Their word is
        half a second old at most and their owners grant what is really free, so few of many
        requests are sent away.
    :param least_retry_s: the earliest that a refused caller is asked to come back, seconds.
    :param most_retry_s: the latest, seconds.
    :param moves_runs: whether runs leave an engine that is about to stop.
    :param arrivals_in_turn: whether an engine takes in one such run at a time.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    horizons: tuple[pydantic.NonNegativeInt, ...] = (0, 100, 250, 500)
    margin_start: pydantic.PositiveFloat = 1.0
    margin_least: pydantic.PositiveFloat = 0.7
    expected_answer_tokens: pydantic.PositiveInt = 400
    placement_s: pydantic.NonNegativeFloat = 0.35
    compared_engines: pydantic.PositiveInt = 8
    least_retry_s: pydantic.PositiveFloat = 0.3
    most_retry_s: pydantic.PositiveFloat = 3.0
    moves_runs: bool = True
    arrivals_in_turn: bool = True


def parse_variant(text: str) -> tuple[str, Policy]:
    """Read a variant: its name, and the fields in which it differs.

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
        raise codederrors.CodedError(VARIANT_INVALID, f"{text!r:.80}: no YAML") from error
    if not isinstance(parsed, dict) or len(parsed) != 1:
        raise codederrors.CodedError(VARIANT_INVALID, f"{text!r:.80}: not NAME: {{FIELD: VALUE}}")
    ((name, fields),) = parsed.items()
    if not isinstance(name, str) or not name.isidentifier():
        raise codederrors.CodedError(VARIANT_INVALID, f"{name!r:.80}: not a name")
    try:
        return name, Policy.model_validate(fields or {})
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or name
        detail = f"{name}: {where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError(VARIANT_INVALID, detail) from error


def as_settings_section(policy: Policy) -> str:
    r"""Return what a policy adds to the settings: the fields that differ; often nothing.

    Examples
    ========

    >>> as_settings_section(Policy(placement_s=0.5))
    'policy: {"placement_s": 0.5}\n'
    >>> as_settings_section(Policy())
    ''
    """
    fields = policy.model_dump(mode="json", exclude_defaults=True)
    return f"policy: {json.dumps(fields)}\n" if fields else ""
