"""Runs a program from its pack: ``python -S -m hornbeamglade.packed PACK MODULE``.

Explanation
===========

The module's ``main`` is called and returns the exit code. Without a usable pack, the
program's modules are imported as usual, which takes longer.
"""

import gc

# Imports create only long-lived objects, which each garbage collection would scan in vain.
gc.disable()

import importlib  # noqa: E402
import sys  # noqa: E402

from hornbeamglade.packed import importer, packfile  # noqa: E402


def main() -> int:
    """Import the program from its pack and run it; return its exit code."""
    path, program = sys.argv[1:]
    packed = packfile.read(path)
    if isinstance(packed, packfile.UnusablePack):
        print(f"pack_unusable: {packed.reason}", file=sys.stderr)
        return importlib.import_module(program).main()
    finder = importer.PackImporter(packed)
    sys.meta_path.insert(0, finder)
    module = importlib.import_module(program)
    finder.close()
    return module.main()


if __name__ == "__main__":
    sys.exit(main())
