"""``hornbeamglade bench``: the group of all benchmark commands."""

from hornbeamglade.cli import bench as benchlib
from hornbeamglade.cli import benchall, benchdays, benchmix, benchrecovery, benchtraffic

bench = benchlib.bench
bench.add_command(benchall.bench_all)
bench.add_command(benchdays.bench_days)
bench.add_command(benchmix.bench_crowd)
bench.add_command(benchmix.bench_uneven)
bench.add_command(benchrecovery.bench_recovery)
bench.add_command(benchtraffic.bench_load)
bench.add_command(benchtraffic.bench_relay)
