"""Which failure domains are evacuated, as of a version of the operator's table.

Explanation
===========

The operator asks that nothing new goes to the backend servers of a failure domain, and later
takes that back. Instances hear of it from the store and from one another, in any order. A
state holds all evacuated domains as of one version of the store, so of two states the one with
the higher version is right, whichever way it came.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated failure domains.

    :param version: of the store, up to which this is complete; 0 when nothing is known.
    :param domains: names of failure domains.

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
        """Whether anything was learned yet."""
        return self.version > 0

    def updated(
        self,
        begun: collections.abc.Iterable[str],
        ended: collections.abc.Iterable[str],
        version: int,
    ) -> "Evacuations":
        """Return the state after changes up to ``version``; older ones change nothing."""
        if version <= self.version:
            return self
        return Evacuations(version, (self.domains | frozenset(begun)) - frozenset(ended))

    def newer(self, other: "Evacuations") -> "Evacuations":
        """Return the newer of two states."""
        return other if other.version > self.version else self
