"""Which team holds a key."""

import pytest

from hornbeamglade.routes import models, teamkeys

KEYS = teamkeys.TeamKeys((models.Team("clinic", frozenset(("k1", "k2"))),))


@pytest.mark.parametrize("told", [None, "", "k1", "Bearer", "Bearer ", "Bearer k3", "Basic k1"])
def test_what_is_no_key_identifies_nobody(told):
    assert KEYS.identify(told) is None


@pytest.mark.parametrize("told", ["Bearer k1", "bearer k2", "Bearer  k1 "])
def test_key_identifies_its_team(told):
    assert KEYS.identify(told).name == "clinic"


def test_teams_without_keys_still_close_the_door():
    """The last key of the last team is taken away.

    Taken for a deployment without keys, the routes would be open to everyone.
    """
    assert teamkeys.TeamKeys((models.Team("clinic", frozenset()),)).is_required
    assert not teamkeys.TeamKeys(()).is_required
