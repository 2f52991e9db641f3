"""``hornbeamglade faultmodel``: print the page of the fault model."""

import click

from hornbeamglade.faultmodel import page, records


@click.command()
def faultmodel() -> None:
    """Print the fault model as a page, made from its checked records."""
    click.echo(page.render(records.load()), nl=False)
