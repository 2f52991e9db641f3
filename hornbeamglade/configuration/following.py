"""Decides which revision a node adopts; its number never decreases.

Explanation
===========

A node adopts a revision that it reads at the head, or receives from a peer, if its
number is larger than that of its own revision. Nodes only have accepted revisions,
so adopting a newer one from a peer is always safe.

The difficult case is a node that starts without a revision while the store is
down. Two rules were considered:

(a) The node does not serve until it has read the head. No node can go back to an
    older revision, but instances are replaced all the time, so in a long outage no
    node of the site would serve in the end.
(b) The node starts from its peers. Adopting the revision of the first peer could
    bring an older one back: that peer may have been disconnected from the store
    while the newest revision became active at the others, which were replaced
    since.

Rule (b) is used, with a quorum. The node counts the listed nodes that have
announced a revision within the last seconds; nodes without a revision are listed
but do not count. When they are more than half of the list, which includes the node
itself, it adopts the newest number that any peer has announced. Until then it stays
unready and reports a code.

Why the site cannot go back: let a revision be active at more than half of the
listed nodes for longer than ``ANNOUNCEMENT_FRESH_S``. A starting node uses no
announcements and no store responses that are older than this. The nodes with an
older revision are then fewer than half. No node goes back, and a starting node
adopts an older revision only if more than half of the list have nothing newer,
which needs more such nodes than exist. So their number never grows, however many
nodes are replaced. Both majorities refer to lists of the same length: while a list
is stale after a change of the site's size, the guarantee is weaker by the number of
wrong entries.

A revision that only a minority has when the store goes down may be missed if all of
them vanish: it was not active at the site yet. It is read from the head when the
store is available again.
"""

import dataclasses
import enum

from hornbeamglade.configuration import documents, documentyaml, headrecords, models

ANNOUNCEMENT_FRESH_S = 5.0


class Readiness(enum.Enum):
    """Whether a node has an active configuration, or why not."""

    READY = "ready"
    NO_HEAD = "config_no_head"
    NOT_READ = "config_not_read"
    FEW_PEERS = "config_few_peers"
    BEHIND_PEERS = "config_behind_peers"
    REFUSED = "config_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRevision:
    """The revision that a node has adopted.

    :param revision: the whole revision.
    :param site: the configuration of the node's site in that revision.
    """

    revision: documents.Revision
    site: models.SiteConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class _Announcement:
    number: int
    at: float


class RevisionTracker:
    """The active revision of one node, and the revisions announced by its peers.

    :param site: the node's site.
    :param node: the node's name.

    Examples
    ========

    >>> tracker = RevisionTracker("krakow", "node-1")
    >>> tracker.readiness.value
    'config_not_read'
    """

    def __init__(self, site: str, node: str) -> None:
        self._site = site
        self._node = node
        self._listed: frozenset[str] = frozenset()
        self._announcement_by_peer: dict[str, _Announcement] = {}
        self._candidate: documents.Revision | None = None
        self._refused_digest = ""
        self._confirmed_at: float | None = None
        self.active: ActiveRevision | None = None
        self.provisional = False
        self.highest_announced = 0
        self.problem: str | None = None

    @property
    def current(self) -> documents.Revision | None:
        """Return the active revision, or None."""
        return self.active.revision if self.active else None

    @property
    def number(self) -> int:
        """Return the number of the active revision; 0 for none."""
        return self.current.number if self.current else 0

    @property
    def readiness(self) -> Readiness:
        """Return whether a configuration is active, or why not."""
        if self.current is not None:
            return Readiness.READY
        if self.problem == Readiness.NO_HEAD.value:
            return Readiness.NO_HEAD
        if self._candidate is None:
            return Readiness.REFUSED if self.problem else Readiness.NOT_READ
        if self._candidate.number < self.highest_announced:
            return Readiness.BEHIND_PEERS
        return Readiness.FEW_PEERS

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the head confirmed the active revision."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def set_listed_nodes(self, names: frozenset[str], now: float) -> None:
        """Set the names of the site's nodes."""
        self._listed = names | {self._node}
        self._start_from_peers(now)

    def on_version_announcement(self, number: int, now: float, peer: str | None = None) -> bool:
        """Record the revision of a peer; return whether it is newer than any known one.

        :param number: the revision's number; 0 for a peer that has none.
        :param now: monotonic seconds.
        :param peer: the peer's name, if it is known.
        """
        if peer is not None and peer != self._node:
            self._announcement_by_peer[peer] = _Announcement(number, now)
        is_new = number > max(self.number, self.highest_announced)
        self.highest_announced = max(self.highest_announced, number)
        self._start_from_peers(now)
        return is_new

    def needs_content(self, head: headrecords.Head) -> bool:
        """Return whether the content of ``head`` has to be fetched."""
        return head.revision > self.number and head.digest != self._refused_digest

    def compare_head(self, head: headrecords.Head | None, asked_at: float) -> None:
        """Compare the head that was just read with the active revision.

        :param head: the head, or None when there is no head row.
        :param asked_at: when the read began, in monotonic seconds.
        """
        number = head.revision if head else 0
        if number < self._lowest_acceptable():
            # The store was restored to an older state, or the head moved during the read.
            self.problem = "config_head_behind"
        elif head is None:
            self.problem = Readiness.NO_HEAD.value
        elif number > self.number:
            self.problem = self.problem if self.problem == Readiness.REFUSED.value else None
        elif head.digest != self.current.digest:
            self.problem = "config_head_differs"
        else:
            self._confirm(asked_at)

    def adopt_head(self, revision: documents.Revision, asked_at: float, now: float) -> bool:
        """Adopt the content of the head if it is newer; return whether it was adopted.

        A node without a revision adopts none that is lower than the highest announced
        one, by which its peers already serve.

        :param revision: the content of the head.
        :param asked_at: when the read of the head began, in monotonic seconds.
        :param now: monotonic seconds.
        """
        if self._is_stale_read(asked_at, now):
            self.problem = "config_read_late"
            return False
        if revision.number < self._lowest_acceptable() or not self._adopt(revision):
            return False
        self._confirm(asked_at)
        return True

    def _is_stale_read(self, asked_at: float, now: float) -> bool:
        """Return whether a node without a revision must discard a response of the store.

        A new node may read revision 1 and be delayed by a slow store or a pause, while
        revision 2 becomes active at its peers. It would then start with revision 1, and
        keep it if the store goes down. A node that has a revision can use a late
        response, since it only adopts newer ones.
        """
        return self.current is None and now - asked_at > ANNOUNCEMENT_FRESH_S

    def consider(self, revision: documents.Revision, now: float) -> bool:
        """Consider a revision received from a peer; return whether it was adopted."""
        before = self.number
        try:
            revision.verify()
        except documentyaml.ConfigurationError as error:
            self.problem = error.code
            return False
        self.highest_announced = max(self.highest_announced, revision.number)
        if self.current is not None:
            self._adopt_from_peer(revision)
        elif self._candidate is None or revision.number > self._candidate.number:
            self._candidate = revision
            self._start_from_peers(now)
        return self.number > before

    def _lowest_acceptable(self) -> int:
        return self.number if self.current else self.highest_announced

    def _start_from_peers(self, now: float) -> None:
        """Adopt the candidate once there is a quorum, see the module's explanation."""
        candidate = self._candidate
        if self.current is not None or candidate is None or not self._listed:
            return
        if candidate.number < self.highest_announced:
            return
        holders = sum(1 for name in self._listed if self._has_recent_revision(name, now))
        if holders > len(self._listed) // 2:
            self._adopt_from_peer(candidate)

    def _has_recent_revision(self, peer: str, now: float) -> bool:
        # An old announcement does not show which revision became active since; the
        # quorum must exist now.
        announced = self._announcement_by_peer.get(peer)
        return (
            announced is not None
            and announced.number > 0
            and now - announced.at <= ANNOUNCEMENT_FRESH_S
        )

    def _adopt_from_peer(self, revision: documents.Revision) -> None:
        if self._adopt(revision):
            self.provisional = True

    def _adopt(self, revision: documents.Revision) -> bool:
        # Two threads, or a peer and the store, may deliver revisions out of order; the
        # node must not go back to an older configuration.
        if revision.number <= self.number:
            return False
        try:
            effective = revision.effective(self._site)
        except documentyaml.ConfigurationError:
            # The revision has keys of a newer release, or the site was removed: the node
            # keeps the revision that it has.
            self.problem = Readiness.REFUSED.value
            self._refused_digest = revision.digest
            return False
        self.active = ActiveRevision(revision, effective)
        self.problem = None
        self._candidate = None
        return True

    def _confirm(self, asked_at: float) -> None:
        self.provisional = False
        self.problem = None
        self._confirmed_at = asked_at
