"""A complete site of separate processes on this machine, for the demo and for tests."""

from hornbeamglade.localsite.localcaller import Caller, Reply
from hornbeamglade.localsite.localsite import LocalSite, Shape

__all__ = ["Caller", "LocalSite", "Reply", "Shape"]
