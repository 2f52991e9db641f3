"""Runs an entry instance whose wall clock is shifted by the offset in a file.

``python -m hornbeamglade.soak.skewedentry entry --settings FILE`` reads the offset in seconds
from ``FILE`` with the suffix ``.skew``; without this file it uses the machine's clock. Only the
soak test uses it, because the machine's clock cannot be changed for one process alone.
"""

import pathlib
import sys

from hornbeamglade.cli import main
from hornbeamglade.core import clocks

SUFFIX = ".skew"


def path_for(settings: pathlib.Path) -> pathlib.Path:
    """Return the path of the file with the clock offset of the instance with these settings."""
    return settings.with_suffix(SUFFIX)


class SkewedClock(clocks.SystemClock):
    """The machine's clock with an offset on its wall time.

    :param path: a file that contains the offset in seconds.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def wall(self) -> float:
        """Return the shifted wall time."""
        try:
            return super().wall() + float(self._path.read_text(encoding="ascii"))
        except (OSError, ValueError):
            return super().wall()


def run() -> None:
    """Run the command line with the shifted clock."""
    path = path_for(pathlib.Path(sys.argv[sys.argv.index("--settings") + 1]))
    clocks.SystemClock = lambda: SkewedClock(path)
    main.main()


if __name__ == "__main__":
    run()
