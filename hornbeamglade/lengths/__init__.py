"""The distribution of the remaining length of answers, learned from finished answers."""

from hornbeamglade.lengths.lengthmodel import LengthModel, LengthSettings
from hornbeamglade.lengths.survival import Estimate, Growth, SurvivalTable

__all__ = ["Estimate", "Growth", "LengthModel", "LengthSettings", "SurvivalTable"]
