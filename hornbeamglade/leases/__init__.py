"""Leases with fencing numbers: the right to send orders to a pool's engines."""

from hornbeamglade.leases.leaseholder import LeaseHolder
from hornbeamglade.leases.leasevalues import (
    Held,
    HeldElsewhere,
    LeaseOutcome,
    LeaseUnavailable,
)

__all__ = ["Held", "HeldElsewhere", "LeaseHolder", "LeaseOutcome", "LeaseUnavailable"]
