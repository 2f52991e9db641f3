"""Identification of a caller's team by its key."""

import collections.abc
import dataclasses
import hashlib

from hornbeamglade.core import codederrors, outcomes

_SCHEME = "bearer"
_UNKNOWN_KEY = outcomes.Refusal(
    "key_unknown", 401, "the request carries no key of a configured team"
)


@dataclasses.dataclass(frozen=True, slots=True)
class TeamKeys:
    """The hashed keys of one team.

    :param team: the team's name.
    :param key_hashes: hashes as returned by :func:`hash_key`; several during key rotation.
    """

    team: str
    key_hashes: tuple[str, ...]


def hash_key(key: str) -> str:
    """Return the form in which a configuration contains a key.

    Keys are long random strings, so a plain digest cannot be reversed by guessing.

    Examples
    ========

    >>> hash_key("k1")[:15]
    'sha256:6ab9f1eb'
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class TeamDirectory:
    """Finds the team of a bearer key.

    Explanation
    ===========

    The digest of the presented key is looked up, and the key itself is never
    compared. The duration of the lookup reveals at most something about the
    digest, from which no key can be derived.

    :param teams: the configured teams' keys.
    :raises CodedError: if two teams have the same key.
    """

    def __init__(self, teams: collections.abc.Iterable[TeamKeys]) -> None:
        self._team_by_hash: dict[str, str] = {}
        for keys in teams:
            for key_hash in keys.key_hashes:
                team = self._team_by_hash.setdefault(key_hash, keys.team)
                if team != keys.team:
                    detail = f"teams {team} and {keys.team} have the same key"
                    raise codederrors.CodedError("key_shared", detail)

    def identify(self, authorization: str | None) -> str | outcomes.Refusal:
        """Return the team's name, or the refusal of an unknown caller.

        :param authorization: the value of the ``Authorization`` header, if any.
        """
        scheme, _, key = (authorization or "").partition(" ")
        if scheme.lower() != _SCHEME:
            return _UNKNOWN_KEY
        return self._team_by_hash.get(hash_key(key.strip()), _UNKNOWN_KEY)
