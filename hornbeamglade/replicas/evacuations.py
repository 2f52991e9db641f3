"""The evacuated failure domains as of a version of the operator's table.

Explanation
===========

The operator can evacuate a failure domain, whose backend servers then receive no new requests,
and can end the evacuation later. Instances learn of this from the store and from one another,
in any order. A state contains all evacuated domains as of one version of the store, so of two
states the one with the higher version is current, whichever way it was received.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated failure domains.

    :param version: the version of the store up to which the state is complete; 0 if nothing
        is known.
    :param domains: the names of the failure domains.

    Examples
    ========

    >>> state = Evacuations(4).updated(["a", "b"], [], 7).updated([], ["a"], 9)
    >>> state.version, sorted(state.domains)
    (9, ['b'])
    >>> state.updated(["a"], [], 8) is state
    True
    """

    version: int = 0
    domains: frozenset[str] = frozenset()

    @property
    def is_known(self) -> bool:
        """Whether a state has been received."""
        return self.version > 0

    def updated(
        self,
        begun: collections.abc.Iterable[str],
        ended: collections.abc.Iterable[str],
        version: int,
    ) -> "Evacuations":
        """Return the state after changes up to ``version``; older changes are ignored."""
        if version <= self.version:
            return self
        return Evacuations(version, (self.domains | frozenset(begun)) - frozenset(ended))

    def newer(self, other: "Evacuations") -> "Evacuations":
        """Return the newer of two states."""
        return other if other.version > self.version else self
