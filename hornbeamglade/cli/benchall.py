"""``hornbeamglade bench all``: run all benchmarks in sequence."""

import click

from hornbeamglade.cli import bench, benchmix, benchrecovery, benchtraffic


@click.command("all")
@click.pass_context
def bench_all(context: click.Context) -> None:
    """Run every benchmark: takes an hour or more and needs an otherwise idle machine."""
    for title, command in (
        ("policies in virtual time", bench.policy),
        ("engines of uneven speed", benchmix.bench_uneven),
        ("surges while engines depart", benchmix.bench_crowd),
        ("cost of a token", benchtraffic.bench_relay),
        ("callers under load", benchtraffic.bench_load),
        ("recovery from faults", benchrecovery.bench_recovery),
    ):
        click.echo(f"\n== {title} ==")
        context.invoke(command)
