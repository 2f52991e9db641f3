"""Imports modules from a pack; all others are found as usual."""

import importlib.machinery
import marshal

from hornbeamglade.packed import packfile

# The types of modules and of code, without the module that names them.
_Module = type(marshal)
_Code = type((lambda: None).__code__)


class PackImporter:
    """A finder and loader in one, for ``sys.meta_path``.

    :param module_by_name: the pack's modules.
    """

    def __init__(self, module_by_name: dict[str, packfile.PackedModule]) -> None:
        self._module_by_name = module_by_name

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return where a module of the pack comes from, or None for any other."""
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
        """Leave making the module to the import system."""

    def exec_module(self, module: _Module) -> None:
        """Run a module's code."""
        exec(self.get_code(module.__spec__.name), module.__dict__)

    def get_code(self, name: str) -> _Code:
        """Return a module's code.

        :raises ImportError: when the pack does not hold it, or was closed.
        """
        module = self._module_by_name.get(name)
        if module is None:
            raise ImportError(f"{name} is not in the pack", name=name)
        return marshal.loads(module.code)

    def close(self) -> None:
        """Forget the pack, when all is imported; what is not is found as usual then."""
        self._module_by_name.clear()
