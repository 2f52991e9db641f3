"""Placement: loads onto a pool's engines the models, adapters and role that are configured."""

from hornbeamglade.placement.engines import EngineClient, HttpEngineClient, StreamCount
from hornbeamglade.placement.placementsettings import (
    LoadRateSettings,
    PlacementSettings,
    PlacerSettings,
)
from hornbeamglade.placement.placementvalues import (
    DesiredState,
    Order,
    PlacementCondition,
    PlacementStatus,
    Reason,
)
from hornbeamglade.placement.placer import Placer
from hornbeamglade.placement.rollout import Rollout

__all__ = [
    "DesiredState",
    "EngineClient",
    "HttpEngineClient",
    "Order",
    "LoadRateSettings",
    "PlacementCondition",
    "PlacementSettings",
    "PlacementStatus",
    "Placer",
    "PlacerSettings",
    "Reason",
    "Rollout",
    "StreamCount",
]
