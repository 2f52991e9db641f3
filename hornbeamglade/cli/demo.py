"""``hornbeamglade demo``: a complete site on this machine, in a minute."""

import pathlib
import tempfile

import click

from hornbeamglade import localsite
from hornbeamglade.observability import statusreading, statustable

TOKENS = 12
CHANGED_STREAMS = 200
IN_FORCE_BOUND_S = 10.0


@click.command()
def demo() -> None:
    """Start a small site, stream through it, change its configuration, stop it."""
    with tempfile.TemporaryDirectory(prefix="hornbeamglade-demo-") as folder:
        shape = localsite.Shape(nodes=3, engines=2, services=1)
        click.echo("starting a platform, 2 engines, 1 plain service and 3 entry nodes ...")
        with localsite.LocalSite(shape, pathlib.Path(folder)) as site:
            _stream(site)
            _hold(site)
            _change(site)
            _show_status(site)
    click.echo("stopped")


def _stream(site: localsite.LocalSite) -> None:
    addresses = site.caller(0).call("GET", "/v1/addresses").json()["addresses"]
    click.echo(f"\naddresses for the team front-desk: {', '.join(addresses)}")
    click.echo(f"POST /v1/chat/completions at {addresses[0]}, streaming:")
    reply = site.caller_at(addresses[0]).stream("Dear Sir, about your letter of Monday", TOKENS)
    for count in range(1, TOKENS + 1):
        reply.read_tokens(count)
        click.echo(f" {reply.texts[-1].strip()}", nl=False)
    reply.read_all()
    click.echo("  [DONE]" if reply.is_done else f"  {reply.error}")


def _hold(site: localsite.LocalSite) -> None:
    click.echo("\na reservation hold, sent to two nodes with one Idempotency-Key:")
    headers = {"Idempotency-Key": "unit-12"}
    for number in range(2):
        reply = site.caller(number).call("POST", "/services/holds/units", b"{}", headers)
        replayed = reply.headers.get("idempotent-replayed", "false")
        click.echo(f"  entry-{number}: {reply.status} {reply.body.decode()} replayed: {replayed}")


def _change(site: localsite.LocalSite) -> None:
    click.echo(f"\nconfiguration change: max_streams = {CHANGED_STREAMS}")
    changed = site.base() | {"node": {"max_streams": CHANGED_STREAMS}}
    revision = site.apply(changed, based_on=1, change_id="demo-change")
    site.wait_until(
        lambda: site.is_in_force(revision), f"revision {revision} at every node", IN_FORCE_BOUND_S
    )
    click.echo(f"  revision {revision} is in force at every node")


def _show_status(site: localsite.LocalSite) -> None:
    click.echo("\nhornbeamglade status:")
    addresses = [site.address_by_name[name] for name in site.node_names]
    click.echo(statustable.as_text(statusreading.read_all(addresses)))
