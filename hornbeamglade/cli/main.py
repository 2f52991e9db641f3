"""The ``hornbeamglade`` command."""

import importlib

import click

from hornbeamglade.cli import codedgroup

_MODULE_BY_COMMAND = {
    "bench": "benchgroup",
    "capacity": "capacity",
    "config": "config",
    "demo": "demo",
    "entry": "entry",
    "explain": "explain",
    "faultmodel": "faultmodel",
    "losses": "losses",
    "node": "node",
    "soak": "soak",
    "spec": "spec",
    "standin": "standin",
    "status": "status",
    "sweep": "sweep",
    "team": "team",
}


class _LazyGroup(codedgroup.CodedGroup):
    """Imports a command's module when the command is used.

    This keeps the memory and start time of an entry instance low: importing the benches
    and stand-ins that other commands need would double both.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(_MODULE_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, or None when there is none of that name."""
        module = _MODULE_BY_COMMAND.get(cmd_name)
        if module is None:
            return None
        return getattr(importlib.import_module(f"hornbeamglade.cli.{module}"), cmd_name)


@click.group(cls=_LazyGroup)
def main() -> None:
    """Serve language-model generations on overloaded engines."""
