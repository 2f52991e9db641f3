"""Names of the platform's tables, and of what lies in them."""

from hornbeamglade.store import contract

CONFIGURATION = "op"
CONFIGURATION_KEY = "op/config"
REPLICAS = "servers"


def configuration_row(rows: tuple[contract.Row, ...]) -> contract.Row | None:
    """Return the newest row that holds the configuration, or None."""
    found = [row for row in rows if row.key == CONFIGURATION_KEY]
    return found[-1] if found else None
