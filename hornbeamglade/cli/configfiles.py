"""Finds, reads and writes the operator's configuration files, without overwriting any."""

import pathlib

import yaml

from hornbeamglade.configuration import documents, documentyaml
from hornbeamglade.core import codederrors

SUFFIXES = (".yaml", ".yml")


def load(base: str, overlays: tuple[str, ...]) -> documents.Document:
    """Read and check the files that an operator names.

    :param base: the base file.
    :param overlays: overlay files, or directories of them.
    :raises CodedError: when a file cannot be read or fails the checks.
    """
    paths = [path for overlay in overlays for path in _files(pathlib.Path(overlay))]
    return documents.load(_source(pathlib.Path(base)), [_source(path) for path in paths])


def as_yaml(value: object) -> str:
    """Return plain values as YAML text."""
    return yaml.safe_dump(value, sort_keys=False, allow_unicode=True)


def write_new(directory: str, text: str) -> tuple[str, ...]:
    """Write a canonical document as base and overlay files; return their names.

    :raises CodedError: when one of the files exists; in this case none is written.
    """
    base, overlay_by_site = documents.parts(text)
    root = pathlib.Path(directory)
    value_by_path = {root / "base.yaml": base}
    value_by_path |= {
        root / "sites" / f"{site}.yaml": value for site, value in overlay_by_site.items()
    }
    for path in value_by_path:
        # The operator's file may contain the change that has just lost a race.
        if path.exists():
            raise codederrors.CodedError("config_file_exists", f"{path} would be overwritten")
    for path, value in value_by_path.items():
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("x", encoding="utf-8") as file:
            file.write(as_yaml(value))
    return tuple(str(path) for path in value_by_path)


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.is_dir():
        return [path]
    return sorted(inner for inner in path.iterdir() if inner.suffix in SUFFIXES)


def _source(path: pathlib.Path) -> documentyaml.SourceFile:
    try:
        with path.open("rb") as file:
            content = file.read(documentyaml.LARGEST_FILE_BYTES + 1)
    except OSError as error:
        detail = f"{path}: {error.strerror}"
        raise codederrors.CodedError("config_unreadable", detail) from None
    return documentyaml.SourceFile(str(path), content)
