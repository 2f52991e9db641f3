import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.teams import identity

DIRECTORY = identity.TeamDirectory(
    [
        identity.TeamKeys("clerks", (identity.hash_key("old"), identity.hash_key("new"))),
        identity.TeamKeys("counter", (identity.hash_key("c"),)),
    ]
)


@pytest.mark.parametrize(
    ("authorization", "team"),
    [("Bearer old", "clerks"), ("bearer new", "clerks"), ("Bearer c", "counter")],
)
def test_identifies_the_team(authorization, team):
    assert DIRECTORY.identify(authorization) == team


@pytest.mark.parametrize("authorization", [None, "", "Bearer", "Bearer x", "Basic old", "old"])
def test_refuses_unknown_callers(authorization):
    assert DIRECTORY.identify(authorization).http_status == 401


def test_a_hash_is_not_accepted_as_key():
    # Guards against someone who reads a hash in the configuration and sends it as a key.
    assert DIRECTORY.identify(f"Bearer {identity.hash_key('c')}").http_status == 401


def test_a_key_shared_by_two_teams_is_an_error():
    keys = (identity.hash_key("same"),)
    with pytest.raises(codederrors.CodedError, match="key_shared"):
        identity.TeamDirectory([identity.TeamKeys("a", keys), identity.TeamKeys("b", keys)])
