"""A command group that turns coded errors into messages and exit codes."""

import click

from hornbeamglade.configuration import documentyaml
from hornbeamglade.core import codederrors

EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM_DOWN = 4
EXIT_NOT_EVERYWHERE = 5


class CodedGroup(click.Group):
    """Prints a coded error, one problem per line, and exits with code 2.

    Only the outermost group has this class, so that a message is printed only once.
    """

    def invoke(self, ctx: click.Context) -> object:
        """Run the named command."""
        try:
            return super().invoke(ctx)
        except documentyaml.ConfigurationError as error:
            for problem in error.problems:
                click.echo(str(problem), err=True)
        except codederrors.CodedError as error:
            click.echo(str(error), err=True)
        return ctx.exit(EXIT_BAD_INPUT)
