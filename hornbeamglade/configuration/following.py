"""Which revision a node holds: only ever a newer one.

Explanation
===========

A node moves to a revision that it reads at the head, or that a peer holds, if
the number is larger than any it held. Only accepted revisions are ever held,
so taking a newer one from a peer is safe at any time.

The hard case is a node that starts with nothing while the store is down. Two
rules were weighed:

(a) It refuses to serve until it has read the head. Nothing can revert, but
    instances are replaced all the time and outages last: in the end no node
    of the site would serve.
(b) It starts from its peers. Adopting whatever the first peer holds could put
    an older revision back: the peer may have been cut off from the store when
    the newest one came into force at the others, since replaced.

Chosen is (b) with a quorum: the node counts the listed nodes that hold a
revision (nodes with nothing do not count, but make the list longer), waits for
more than half of the list, itself included, and takes the newest number that it
has heard of from anyone, within the last seconds. If fewer answer, it stays unready with a code.

Why it cannot revert: let a revision be in force at more than half of the
listed nodes for longer than ``ANNOUNCEMENT_FRESH_S``; a node with nothing uses neither
hearsay nor an answer of the store that is older. The nodes with an older
revision are then fewer than half. A node never
goes lower, and a new node adopts an older one only if more than half of the
list held nothing newer, which needs more such nodes than there are. So their
number never grows, however many nodes are replaced. The two majorities are
taken over lists of the same length; a list that lags over a change of the
site's size can weaken this by as many nodes as it has wrong.

A revision held by a minority when the store went down may be missed if all its
holders vanish: it was not yet in force at the site. The head tells of it when
the store is back.
"""

import dataclasses
import enum

from hornbeamglade.configuration import documents, documentyaml, headrecords, models

ANNOUNCEMENT_FRESH_S = 5.0


class Readiness(enum.Enum):
    """Whether a node has a configuration to serve by, or why not."""

    READY = "ready"
    NO_HEAD = "config_no_head"
    NOT_READ = "config_not_read"
    FEW_PEERS = "config_few_peers"
    BEHIND_PEERS = "config_behind_peers"
    REFUSED = "config_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRevision:
    """A revision and what it says for the node's site.

    :param revision: the whole revision.
    :param site: the site's configuration by that revision.
    """

    revision: documents.Revision
    site: models.SiteConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class _Announcement:
    number: int
    at: float


class RevisionTracker:
    """The revision that one node holds, and what it has heard of newer ones.

    :param site: the node's site.
    :param node: the node's name.

    Examples
    ========

    >>> following = RevisionTracker("krakow", "node-1")
    >>> following.readiness.value
    'config_not_read'
    """

    def __init__(self, site: str, node: str) -> None:
        self._site = site
        self._node = node
        self._listed: frozenset[str] = frozenset()
        self._heard_by_peer: dict[str, _Announcement] = {}
        self._candidate: documents.Revision | None = None
        self._refused_digest = ""
        self._newest_at: float | None = None
        self.active: ActiveRevision | None = None
        self.provisional = False
        self.highest_announced = 0
        self.problem: str | None = None

    @property
    def current(self) -> documents.Revision | None:
        """Return the revision held."""
        return self.active.revision if self.active else None

    @property
    def number(self) -> int:
        """Return the number of the revision held; 0 for none."""
        return self.current.number if self.current else 0

    @property
    def readiness(self) -> Readiness:
        """Return whether there is a configuration to serve by."""
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
        """Return seconds since the revision held was seen to be the newest."""
        return None if self._newest_at is None else now - self._newest_at

    def set_listed_nodes(self, names: frozenset[str], now: float) -> None:
        """Take the site's list of nodes, by name."""
        self._listed = names | {self._node}
        self._start_from_peers(now)

    def on_version_announcement(self, number: int, now: float, peer: str | None = None) -> bool:
        """Note a revision that a peer holds; return whether it is news.

        :param number: the revision; 0 for a peer that holds none.
        :param peer: the peer's name, where it is known.
        """
        if peer is not None and peer != self._node:
            self._heard_by_peer[peer] = _Announcement(number, now)
        news = number > max(self.number, self.highest_announced)
        self.highest_announced = max(self.highest_announced, number)
        self._start_from_peers(now)
        return news

    def wants(self, head: headrecords.Head) -> bool:
        """Return whether the content of ``head`` is to be fetched."""
        return head.revision > self.number and head.digest != self._refused_digest

    def see_head(self, head: headrecords.Head | None, asked_at: float) -> None:
        """Compare the head, as just read, with the revision held.

        :param asked_at: when the head was asked for, in seconds of the clock.
        """
        number = head.revision if head else 0
        if number < self._floor():
            # The store was put back to an older state, or a change came while it was read.
            self.problem = "config_head_behind"
        elif head is None:
            self.problem = Readiness.NO_HEAD.value
        elif number > self.number:
            self.problem = self.problem if self.problem == Readiness.REFUSED.value else None
        elif head.digest != self.current.digest:
            self.problem = "config_head_differs"
        else:
            self._confirm(asked_at)

    def take_head(self, revision: documents.Revision, asked_at: float, now: float) -> bool:
        """Adopt the content of the head if it is newer; return whether it was.

        A node that holds nothing takes none lower than it has heard of: peers
        serve the newer one already.

        :param asked_at: when the head was asked for, in seconds of the clock.
        """
        if self._is_late(asked_at, now):
            self.problem = "config_read_late"
            return False
        if revision.number < self._floor() or not self._adopt(revision):
            return False
        self._confirm(asked_at)
        return True

    def _is_late(self, asked_at: float, now: float) -> bool:
        """Return whether a node with nothing must drop what the store answered.

        Failure: a new node reads revision 1 and is held up, by a slow store or
        a pause; 2 comes into force at its peers; then it starts by 1, and stays
        there if the store goes down. Such an answer is as stale as hearsay.
        A node that holds a revision can only gain by the answer.
        """
        return self.current is None and now - asked_at > ANNOUNCEMENT_FRESH_S

    def consider(self, revision: documents.Revision, now: float) -> bool:
        """Consider what a peer holds; return whether it was adopted."""
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

    def _floor(self) -> int:
        return self.number if self.current else self.highest_announced

    def _start_from_peers(self, now: float) -> None:
        """Adopt the candidate once the quorum of the module's explanation is there."""
        candidate = self._candidate
        if self.current is not None or candidate is None or not self._listed:
            return
        if candidate.number < self.highest_announced:
            return
        holders = sum(1 for name in self._listed if self._holds_one(name, now))
        if holders > len(self._listed) // 2:
            self._adopt_from_peer(candidate)

    def _holds_one(self, peer: str, now: float) -> bool:
        # Failure: what was heard long ago says nothing of what came into force
        # since; the quorum must hold now.
        heard = self._heard_by_peer.get(peer)
        return heard is not None and heard.number > 0 and now - heard.at <= ANNOUNCEMENT_FRESH_S

    def _adopt_from_peer(self, revision: documents.Revision) -> None:
        if self._adopt(revision):
            self.provisional = True

    def _adopt(self, revision: documents.Revision) -> bool:
        # Failure: two threads, or a peer and the store, bring revisions out of
        # order; requests would be judged by an older configuration again.
        if revision.number <= self.number:
            return False
        try:
            effective = revision.effective(self._site)
        except documentyaml.ConfigurationError:
            # A newer release's keys, or the site was removed: serve on by what is held.
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
        self._newest_at = asked_at
