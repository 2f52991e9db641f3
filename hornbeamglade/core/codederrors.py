"""Exceptions that carry a stable code.

Outcomes that calling code is expected to handle are values
(:mod:`hornbeamglade.core.outcomes`); exceptions report invalid input at the
system boundary and violated invariants.
"""


class CodedError(Exception):
    """Invalid input or a failed operation, with a code that scripts may match.

    :param code: a stable lower-case identifier, such as ``config_unknown_key``.
    :param detail: one human-readable sentence that names the invalid value.

    Examples
    ========

    >>> str(CodedError("team_unknown", "no team has the key ending in ab12"))
    'team_unknown: no team has the key ending in ab12'
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


class InvariantError(CodedError):
    """A violated invariant: the only error that may stop a process."""
