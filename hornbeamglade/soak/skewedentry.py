"""Run an entry instance whose wall clock stands off by what a file says.

``python -m hornbeamglade.soak.skewedentry entry --settings FILE`` reads the seconds from
``FILE`` with the suffix ``.skew``; without such a file the clock is the machine's. Only the
soak uses it: the clock of a machine cannot be moved for one process alone.
"""

import pathlib
import sys

from hornbeamglade.cli import main
from hornbeamglade.core import clocks

SUFFIX = ".skew"


def path_for(settings: pathlib.Path) -> pathlib.Path:
    """Return the file that moves the clock of the instance with these settings."""
    return settings.with_suffix(SUFFIX)


class SkewedClock(clocks.SystemClock):
    """The machine's clock, its wall time moved.

    :param path: holds the seconds by which it is moved.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def wall(self) -> float:
        """Return the wall time as this instance has it."""
        try:
            return super().wall() + float(self._path.read_text(encoding="ascii"))
        except (OSError, ValueError):
            return super().wall()


def run() -> None:
    """Run the command line with the moved clock."""
    path = path_for(pathlib.Path(sys.argv[sys.argv.index("--settings") + 1]))
    clocks.SystemClock = lambda: SkewedClock(path)
    main.main()


if __name__ == "__main__":
    run()
