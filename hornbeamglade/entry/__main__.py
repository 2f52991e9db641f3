"""Run one entry instance: ``python -m hornbeamglade.entry``.

Explanation
===========

The same as ``hornbeamglade entry``, without what only a command line needs. After a loss of
all instances callers wait until one has imported its modules, so what is imported here is
time in which nobody is served.

The file of the settings is named by ``HORNBEAMGLADE_SETTINGS``.
"""

import os
import sys

from hornbeamglade.core import codederrors
from hornbeamglade.entry import daemon

SETTINGS_VARIABLE = "HORNBEAMGLADE_SETTINGS"
EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run until it is told to stop (SIGTERM drains it); return the exit code."""
    try:
        return daemon.run(os.environ.get(SETTINGS_VARIABLE, ""))
    except codederrors.CodedError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
