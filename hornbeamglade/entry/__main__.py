"""Run one entry instance: ``python -m hornbeamglade.entry``.

Explanation
===========

Equivalent to ``hornbeamglade entry``, but imports nothing that only the command line needs.
After a full outage, callers wait until the first instance has imported its modules, so every
import here adds to the time without service.

The environment variable ``HORNBEAMGLADE_SETTINGS`` names the settings file.
"""

import os
import sys

from hornbeamglade.core import codederrors
from hornbeamglade.entry import daemon

SETTINGS_VARIABLE = "HORNBEAMGLADE_SETTINGS"
EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Serve until stopped (SIGTERM starts draining); return the exit code."""
    try:
        return daemon.run(os.environ.get(SETTINGS_VARIABLE, ""))
    except codederrors.CodedError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
