"""Placement: the models, adapters and roles of a pool's engines, as the configuration wants."""

from hornbeamglade.placement.engines import EngineClient, HttpEngineClient, StreamCount
from hornbeamglade.placement.placementsettings import (
    PaceSettings,
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
    "PaceSettings",
    "PlacementCondition",
    "PlacementSettings",
    "PlacementStatus",
    "Placer",
    "PlacerSettings",
    "Reason",
    "Rollout",
    "StreamCount",
]
