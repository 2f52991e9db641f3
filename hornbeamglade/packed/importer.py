"""Imports modules from a pack; all others are imported as usual."""

import importlib.machinery
import marshal

from hornbeamglade.packed import packfile

# The types of modules and code objects, without importing ``types``.
_Module = type(marshal)
_Code = type((lambda: None).__code__)


class PackImporter:
    """A combined finder and loader for ``sys.meta_path``.

    :param module_by_name: the pack's modules.
    """

    def __init__(self, module_by_name: dict[str, packfile.PackedModule]) -> None:
        self._module_by_name = module_by_name

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a module of the pack, or None for any other."""
        module = self._module_by_name.get(name)
        if module is None:
            return None
        is_package = module.search_paths is not None
        spec = importlib.machinery.ModuleSpec(
            name, self, origin=module.path, is_package=is_package
        )
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = list(module.search_paths)
        return spec

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> None:
        """Let the import system create the module."""

    def exec_module(self, module: _Module) -> None:
        """Run a module's code."""
        exec(self.get_code(module.__spec__.name), module.__dict__)

    def get_code(self, name: str) -> _Code:
        """Return a module's code.

        :raises ImportError: if the pack does not contain it, or was closed.
        """
        module = self._module_by_name.get(name)
        if module is None:
            raise ImportError(f"{name} is not in the pack", name=name)
        return marshal.loads(module.code)

    def close(self) -> None:
        """Release the pack after startup; modules imported later are imported as usual."""
        self._module_by_name.clear()
