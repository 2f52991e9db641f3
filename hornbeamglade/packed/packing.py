"""Packs a program: ``python -m hornbeamglade.packed.packing MODULE PACK``.

Explanation
===========

The program's module is imported as at its startup, and all modules then loaded that have a
source are packed. Modules that are imported later are imported as usual.
"""

import importlib
import marshal
import os
import sys
import types

from hornbeamglade.packed import packfile


def pack(program: str, path: str) -> int:
    """Pack all modules that importing ``program`` loads; return their number.

    :param program: a module's name.
    :param path: where to write the pack.
    """
    importlib.import_module(program)
    module_by_name = {}
    for name, module in tuple(sys.modules.items()):
        packed = _packed(name, module)
        if packed is not None:
            module_by_name[name] = packed
    packfile.write(path, module_by_name)
    return len(module_by_name)


def _packed(name: str, module: types.ModuleType) -> packfile.PackedModule | None:
    spec = getattr(module, "__spec__", None)
    # The modules that import from a pack are loaded before the pack is open.
    if spec is None or spec.name != name or name.startswith("hornbeamglade.packed"):
        return None
    if not (spec.origin or "").endswith(".py") or not hasattr(spec.loader, "get_code"):
        return None
    try:
        code = spec.loader.get_code(name)
    except ImportError:
        # A module that a library registered under another name.
        return None
    search_paths = spec.submodule_search_locations
    return packfile.PackedModule(
        _relative(spec.origin),
        None if search_paths is None else tuple(_relative(each) for each in search_paths),
        marshal.dumps(code),
    )


def _relative(path: str) -> str:
    """Return a path below the working directory relative to it, and any other unchanged."""
    root = os.path.join(os.getcwd(), "")
    return os.path.abspath(path).removeprefix(root)


def main() -> None:
    """Pack the program named by the first argument into the file named by the second."""
    program, path = sys.argv[1:]
    count = pack(program, path)
    print(f"{path}: {count} modules")


if __name__ == "__main__":
    main()
