"""The file of packed modules: its format, writing and reading.

Explanation
===========

Finding, opening and reading a module's code takes a dozen system calls; a program of
some hundred modules spends a considerable part of its startup on that. A pack contains the
code of all of them in sequence, preceded by an index.

Code of one version of the interpreter cannot be used by another, and the paths of modules
outside the program's own folder are those of the machine that packed them. A pack states for
which interpreter it was made, and is not used by any other.

Modules imported before a pack is open are imported the slow way, so this module and the
importer have minimal imports: their values are plain classes with slots.
"""

import importlib.util
import marshal
import os
import sys

FORMAT = 1


class PackedModule:
    """One module of a pack.

    :param path: the path of its source, relative to the program's folder or absolute.
    :param search_paths: the search paths of a package's submodules; None for a plain module.
    :param code: its code, marshalled.
    """

    __slots__ = ("code", "path", "search_paths")

    def __init__(
        self, path: str, search_paths: tuple[str, ...] | None, code: bytes | memoryview
    ) -> None:
        self.path = path
        self.search_paths = search_paths
        self.code = code


class UnusablePack:
    """A pack that cannot be used.

    :param reason: a short explanation.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


def compatibility_key() -> tuple[int, bytes, str]:
    """Return the key that a pack must contain to be used by this process."""
    return FORMAT, importlib.util.MAGIC_NUMBER, sys.base_prefix


def write(path: str, module_by_name: dict[str, PackedModule]) -> None:
    """Write a pack atomically."""
    index = []
    start = 0
    for name, module in sorted(module_by_name.items()):
        index.append((name, module.path, module.search_paths, start, start + len(module.code)))
        start += len(module.code)
    head = marshal.dumps((compatibility_key(), index))
    temporary_path = f"{path}.part"
    with open(temporary_path, "wb") as file:
        file.write(len(head).to_bytes(4, "little"))
        file.write(head)
        for _, module in sorted(module_by_name.items()):
            file.write(module.code)
    os.replace(temporary_path, path)


def read(path: str) -> dict[str, PackedModule] | UnusablePack:
    """Read a pack and make its paths absolute."""
    try:
        with open(path, "rb") as file:
            data = memoryview(file.read())
        size = int.from_bytes(data[:4], "little")
        head_end = 4 + size
        key, index = marshal.loads(data[4:head_end])
    except (OSError, EOFError, ValueError, TypeError) as error:
        return UnusablePack(f"{path}: {type(error).__name__}")
    if key != compatibility_key():
        return UnusablePack(f"{path}: made for another interpreter")
    root = os.getcwd()
    return {
        name: PackedModule(
            os.path.join(root, source),
            None
            if search_paths is None
            else tuple(os.path.join(root, each) for each in search_paths),
            data[head_end + start : head_end + end],
        )
        for name, source, search_paths, start, end in index
    }
