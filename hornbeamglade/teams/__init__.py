"""Teams: identification by API key, and limits over several nodes."""

from hornbeamglade.teams.identity import TeamDirectory, TeamKeys, hash_key
from hornbeamglade.teams.limits import Admission, TeamLimits
from hornbeamglade.teams.shares import ShareSettings
from hornbeamglade.teams.teamlimits import TeamLimit, TeamShare

__all__ = [
    "Admission",
    "ShareSettings",
    "TeamDirectory",
    "TeamKeys",
    "TeamLimit",
    "TeamLimits",
    "TeamShare",
    "hash_key",
]
