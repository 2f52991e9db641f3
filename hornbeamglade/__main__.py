"""Run the command line as ``python -m hornbeamglade``."""

from hornbeamglade.cli import main

main.main()
