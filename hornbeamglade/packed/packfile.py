"""The file of packed modules: what it holds, how it is written and read.

Explanation
===========

A module's code is looked for, opened and read with a dozen calls to the system; a program of
some hundred modules spends a good part of its start on that. A pack holds the code of all
of them one after another, with an index before it.

Code of one version of the interpreter means nothing to another, and the paths of modules
outside the program's own folder are those of the machine that packed them. A pack says for
which interpreter it was made, and is not used by any other.

What is imported before a pack is open is found the long way, so this module and the importer
need next to nothing: their values are plain classes with slots.
"""

import importlib.util
import marshal
import os
import sys

FORMAT = 1


class PackedModule:
    """One module of a pack.

    :param path: its source, relative to the program's folder or absolute.
    :param search_paths: where the modules below a package lie; None for a plain module.
    :param code: its code, marshalled.
    """

    __slots__ = ("code", "path", "search_paths")

    def __init__(
        self, path: str, search_paths: tuple[str, ...] | None, code: bytes | memoryview
    ) -> None:
        self.path = path
        self.search_paths = search_paths
        self.code = code


class Unusable:
    """A pack cannot be used.

    :param reason: why, in a few words.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


def made_for() -> tuple[int, bytes, str]:
    """Return what a pack must have been made for to be used by this process."""
    return FORMAT, importlib.util.MAGIC_NUMBER, sys.base_prefix


def write(path: str, module_by_name: dict[str, PackedModule]) -> None:
    """Write a pack, as a whole or not at all."""
    index = []
    start = 0
    for name, module in sorted(module_by_name.items()):
        index.append((name, module.path, module.search_paths, start, start + len(module.code)))
        start += len(module.code)
    head = marshal.dumps((made_for(), index))
    unfinished = f"{path}.part"
    with open(unfinished, "wb") as file:
        file.write(len(head).to_bytes(4, "little"))
        file.write(head)
        for _, module in sorted(module_by_name.items()):
            file.write(module.code)
    os.replace(unfinished, path)


def read(path: str) -> dict[str, PackedModule] | Unusable:
    """Read a pack; paths are absolute afterwards."""
    try:
        with open(path, "rb") as file:
            data = memoryview(file.read())
        size = int.from_bytes(data[:4], "little")
        head_end = 4 + size
        maker, index = marshal.loads(data[4:head_end])
    except (OSError, EOFError, ValueError, TypeError) as error:
        return Unusable(f"{path}: {type(error).__name__}")
    if maker != made_for():
        return Unusable(f"{path}: made for another interpreter")
    root = os.getcwd()
    return {
        name: PackedModule(
            os.path.join(root, source),
            None if searched is None else tuple(os.path.join(root, each) for each in searched),
            data[head_end + start : head_end + end],
        )
        for name, source, searched, start, end in index
    }
