"""A stand-in engine that runs as a separate process of a benchmark.

Run as ``python -m hornbeamglade.bench.loadengine SETTINGS``, with the settings as JSON;
prints its listening address.
"""

import json
import os
import signal
import sys
import threading

from hornbeamglade.routing import prefixes
from hornbeamglade.standins import engine, httpserver

LIFETIME_S = 1800.0


def main() -> None:
    """Serve until SIGTERM, at most for ``LIFETIME_S`` seconds."""
    settings = engine.EngineSettings(
        **json.loads(sys.argv[1]), prefix_hashes=prefixes.prefix_hashes
    )
    server = engine.serve(settings)
    end_after(LIFETIME_S)
    print(server.address, flush=True)
    httpserver.run_until_terminated(server)


def end_after(seconds: float) -> None:
    """Schedule SIGTERM for this process, in case the benchmark dies without stopping it."""
    timer = threading.Timer(seconds, os.kill, (os.getpid(), signal.SIGTERM))
    timer.daemon = True
    timer.start()


if __name__ == "__main__":
    main()
