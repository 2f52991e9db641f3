"""Identification of teams by their keys."""

import pytest

from hornbeamglade.routes import models, teamkeys

KEYS = teamkeys.TeamKeys((models.Team("clinic", frozenset(("k1", "k2"))),))


@pytest.mark.parametrize("value", [None, "", "k1", "Bearer", "Bearer ", "Bearer k3", "Basic k1"])
def test_unknown_or_malformed_keys_identify_no_team(value):
    assert KEYS.identify(value) is None


@pytest.mark.parametrize("value", ["Bearer k1", "bearer k2", "Bearer  k1 "])
def test_key_identifies_its_team(value):
    assert KEYS.identify(value).name == "clinic"


def test_keys_are_required_when_teams_hold_none():
    """The last key of the last team was revoked.

    Handled like a deployment without teams, the routes would be open to everyone.
    """
    assert teamkeys.TeamKeys((models.Team("clinic", frozenset()),)).is_required
    assert not teamkeys.TeamKeys(()).is_required
