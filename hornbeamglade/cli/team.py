"""``hornbeamglade team``: keys for teams."""

import json
import secrets

import click

from hornbeamglade.teams import identity

KEY_PREFIX = "hbg_"
KEY_BYTES = 32


@click.group()
def team() -> None:
    """Manage teams."""


@team.command()
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def key(name: str, as_json: bool) -> None:
    """Create a new key for the team NAME; the key is shown only once."""
    new_key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    key_hash = identity.hash_key(new_key)
    if as_json:
        click.echo(json.dumps({"team": name, "key": new_key, "key_hash": key_hash}))
        return
    click.echo(f"key for the callers of {name}: {new_key}")
    click.echo(f"for teams.{name}.key_hashes: {key_hash}")
