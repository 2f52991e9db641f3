"""Parses one YAML file to plain values with their line numbers.

Explanation
===========

Only a subset of YAML is supported: mappings, sequences and scalars of the YAML 1.2
core schema, so that ``no`` is a string and ``1:30`` is not a number. Anchors,
aliases and tags are errors: a few lines of nested aliases would expand to
gigabytes. Keys are always strings.
"""

import collections.abc
import dataclasses
import re

import yaml

from hornbeamglade.core import codederrors

LARGEST_FILE_BYTES = 2 * 1024 * 1024
DEEPEST_NESTING = 16

Path = tuple[str | int, ...]

# The libyaml loader is several times faster; it is missing on platforms without a wheel.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_NULL = re.compile(r"^(~|null|Null|NULL|)$")
_BOOL = re.compile(r"^(true|True|TRUE|false|False|FALSE)$")
_INT = re.compile(r"^[-+]?[0-9]{1,18}$")
_FLOAT = re.compile(r"^[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?$")


def dotted_key(path: Path) -> str:
    """Return a path with its parts joined by dots, as shown to operators.

    Examples
    ========

    >>> dotted_key(("teams", "notary", "key_hashes", 0))
    'teams.notary.key_hashes.0'
    """
    return ".".join(str(part) for part in path)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in a configuration, with its location.

    :param code: a stable identifier that begins with ``config_``.
    :param file: the file's name as it was given; empty when no file is known.
    :param line: the line, from 1; 0 when none is known.
    :param key: the key's path, joined by dots; empty for the whole file.
    :param detail: one sentence for a person.
    """

    code: str
    file: str
    line: int
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        location = f"{self.file}:{self.line}" if self.file else "configuration"
        key = f" {self.key}:" if self.key else ""
        return f"{location}:{key} {self.detail} [{self.code}]"


class ConfigurationError(codederrors.CodedError):
    """A configuration is invalid.

    :param problems: at least one; the first one's code is the error's code.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__(problems[0].code, "; ".join(str(problem) for problem in problems))
        self.problems = problems


@dataclasses.dataclass(frozen=True, slots=True)
class SourceFile:
    """One file of an operator.

    :param name: the file's name, for messages.
    :param content: its bytes.
    """

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The mapping that a file contains.

    :param file: the file's name.
    :param value: nested dicts, lists, strings, numbers, booleans and None.
    :param line_by_path: the line of each value, from 1.
    """

    file: str
    value: dict[str, object]
    line_by_path: dict[Path, int]

    def line(self, path: Path) -> int:
        """Return the line of ``path``, or of the nearest enclosing value."""
        for length in range(len(path), -1, -1):
            if path[:length] in self.line_by_path:
                return self.line_by_path[path[:length]]
        return 0


def parse(source: SourceFile) -> Tree:
    r"""Parse one file.

    :param source: the file.
    :raises ConfigurationError: for anything but a YAML mapping within the limits.

    Examples
    ========

    >>> tree = parse(SourceFile("base.yaml", b"node:\n  max_streams: 12\n"))
    >>> tree.value, tree.line(("node", "max_streams"))
    ({'node': {'max_streams': 12}}, 2)
    """
    builder = _Builder(source.name)
    text = _text(source, builder)
    try:
        events = yaml.parse(text, Loader=LOADER)
        value = builder.document(events)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        detail = getattr(error, "problem", None) or "invalid YAML"
        raise builder.error("config_not_yaml", line, (), str(detail)) from None
    if not isinstance(value, dict):
        raise builder.error("config_not_mapping", 1, (), "expected a mapping at the top level")
    return Tree(source.name, value, builder.line_by_path)


def _text(source: SourceFile, builder: "_Builder") -> str:
    if len(source.content) > LARGEST_FILE_BYTES:
        detail = f"larger than {LARGEST_FILE_BYTES} bytes"
        raise builder.error("config_too_large", 1, (), detail)
    try:
        return source.content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = source.content.count(b"\n", 0, error.start) + 1
        raise builder.error("config_not_utf8", line, (), "not UTF-8 text") from None


class _Builder:
    """Builds the values of one file from the events of the YAML parser.

    It uses the parser's events instead of its nodes, so that aliases and deep
    nesting are rejected before anything is expanded.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self.line_by_path: dict[Path, int] = {}

    def error(self, code: str, line: int, path: Path, detail: str) -> ConfigurationError:
        return ConfigurationError((Problem(code, self._file, line, dotted_key(path), detail),))

    def document(self, events: collections.abc.Iterator[yaml.Event]) -> object:
        next(events)  # the start of the stream
        if isinstance(next(events), yaml.StreamEndEvent):
            self.line_by_path[()] = 1
            return {}
        value = self._value(next(events), events, ())
        next(events)  # the end of the document
        next_event = next(events)
        if not isinstance(next_event, yaml.StreamEndEvent):
            line = next_event.start_mark.line + 1
            raise self.error("config_many_documents", line, (), "expected a single YAML document")
        return value

    def _value(
        self, event: yaml.Event, events: collections.abc.Iterator[yaml.Event], path: Path
    ) -> object:
        line = event.start_mark.line + 1
        self._check_allowed(event, line, path)
        self.line_by_path.setdefault(path, line)
        if isinstance(event, yaml.MappingStartEvent):
            return self._mapping(events, path)
        if isinstance(event, yaml.SequenceStartEvent):
            return self._sequence(events, path)
        return self._scalar(event, line, path)

    def _check_allowed(self, event: yaml.Event, line: int, path: Path) -> None:
        if isinstance(event, yaml.AliasEvent) or event.anchor is not None:
            raise self.error("config_anchor", line, path, "anchors and aliases are not supported")
        if event.tag is not None:
            raise self.error("config_tag", line, path, "tags are not supported")
        if len(path) > DEEPEST_NESTING:
            detail = f"nested deeper than {DEEPEST_NESTING}"
            raise self.error("config_too_deep", line, (), detail)

    def _mapping(
        self, events: collections.abc.Iterator[yaml.Event], path: Path
    ) -> dict[str, object]:
        value: dict[str, object] = {}
        while not isinstance(event := next(events), yaml.MappingEndEvent):
            line = event.start_mark.line + 1
            self._check_allowed(event, line, path)
            if not isinstance(event, yaml.ScalarEvent):
                raise self.error("config_key_not_text", line, path, "a key must be a string")
            key = self._checked_text(event.value, line, path)
            if key in value:
                detail = f"duplicate key, first on line {self.line_by_path[(*path, key)]}"
                raise self.error("config_duplicate_key", line, (*path, key), detail)
            self.line_by_path[(*path, key)] = line
            value[key] = self._value(next(events), events, (*path, key))
        return value

    def _sequence(self, events: collections.abc.Iterator[yaml.Event], path: Path) -> list[object]:
        value: list[object] = []
        while not isinstance(event := next(events), yaml.SequenceEndEvent):
            value.append(self._value(event, events, (*path, len(value))))
        return value

    def _scalar(self, event: yaml.ScalarEvent, line: int, path: Path) -> object:
        text = self._checked_text(event.value, line, path)
        plain = event.implicit[0]
        if not plain:
            return text
        if _NULL.match(text):
            return None
        if _BOOL.match(text):
            return text.lower() == "true"
        if _INT.match(text):
            return int(text)
        if _FLOAT.match(text):
            return self._parse_float(text, line, path)
        return text

    def _parse_float(self, text: str, line: int, path: Path) -> float:
        number = float(text)
        if number in (float("inf"), float("-inf")):
            raise self.error("config_number_range", line, path, "number out of range")
        return number

    def _checked_text(self, text: str, line: int, path: Path) -> str:
        # An escape sequence may denote half of a surrogate pair, which UTF-8 cannot
        # encode; PyYAML's pure Python parser accepts it.
        try:
            text.encode("utf-8")
        except UnicodeEncodeError:
            raise self.error("config_not_utf8", line, path, "not UTF-8 text") from None
        return text
