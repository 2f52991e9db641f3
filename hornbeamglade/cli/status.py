"""The command that shows the nodes and replicas of a site."""

import click

from hornbeamglade.membership import registry
from hornbeamglade.observability import statusreading, statustable
from hornbeamglade.platform import storeclient
from hornbeamglade.store import contract


@click.command()
@click.option("--platform", "platform_url", help="Base URL of the platform; reads every instance.")
@click.option("--nodes", help="Addresses of nodes, as ip:port, separated by commas.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0, min_open=True),
    default=statusreading.READ_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for a node.",
)
@click.option("--json", "json_output", is_flag=True, help="Print the pages as JSON.")
def status(
    platform_url: str | None, nodes: str | None, timeout_s: float, json_output: bool
) -> None:
    """Show each node and replica: state, revision in force, load, refusals.

    Exits with 1 when the status of a node could not be read.
    """
    if (platform_url is None) == (nodes is None):
        raise click.UsageError("Give either --platform or --nodes.")
    addresses = _split_addresses(nodes) if nodes else _listed_addresses(platform_url)
    if not addresses:
        raise click.ClickException("There are no nodes to ask.")
    readings = statusreading.read_all(addresses, timeout_s)
    click.echo(statustable.as_json(readings) if json_output else statustable.as_text(readings))
    if any(reading.status is None for reading in readings):
        raise SystemExit(1)


def _split_addresses(nodes: str) -> tuple[str, ...]:
    return tuple(address.strip() for address in nodes.split(",") if address.strip())


def _listed_addresses(platform_url: str) -> tuple[str, ...]:
    instances = registry.Registry(storeclient.StoreClient(platform_url)).list()
    if isinstance(instances, contract.Unavailable):
        raise click.ClickException(f"The platform gave no list: {instances.reason}")
    return tuple(instance.address for instance in instances)
