"""A node's copy of the configuration, updated by a thread that polls the head.

Explanation
===========

A poll reads one row; the content is fetched only when the revision number has
grown. A version announcement of a peer triggers a poll at once. All decisions are
made by :class:`hornbeamglade.configuration.following.RevisionTracker`; this module
has the calls to the platform, the thread, and one lock around the decisions. The
lock is never held during a call to the platform.
"""

import collections.abc
import dataclasses
import threading

from hornbeamglade.configuration import documents, following, headcontent, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract

POLL_S = 1.0
JOIN_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class FollowerCounts:
    """Counters of a follower since its start."""

    polls: int = 0
    failed_polls: int = 0
    adopted: int = 0


class Follower:
    """Follows the head of one site's configuration.

    :param table: holds the head row.
    :param objects: holds the documents.
    :param clock: the time of reads and announcements.
    :param site: the node's site.
    :param node: the node's name.
    :param poll_s: seconds between polls.

    ``on_adopted`` is called after each adoption, in the thread that adopted.
    """

    def __init__(
        self,
        table: contract.Table,
        objects: contract.ObjectStore,
        clock: clocks.Clock,
        site: str,
        node: str,
        poll_s: float = POLL_S,
    ) -> None:
        self._table = table
        self._content = headcontent.HeadContent(objects, clock)
        self._clock = clock
        self._poll_s = poll_s
        self._tracker = following.RevisionTracker(site, node)
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self.counts = FollowerCounts()
        self.on_adopted: collections.abc.Callable[[], None] = _no_op

    def current(self) -> documents.Revision | None:
        """Return the active revision of this node; its number never decreases."""
        return self._tracker.current

    def active(self) -> following.ActiveRevision | None:
        """Return the active revision together with the site's configuration."""
        return self._tracker.active

    @property
    def provisional(self) -> bool:
        """Return whether the revision came from peers and the head has not confirmed it."""
        return self._tracker.provisional

    @property
    def age_s(self) -> float | None:
        """Return the seconds since the head confirmed the revision, or None for never."""
        return self._tracker.age_s(self._clock.now())

    @property
    def readiness(self) -> following.Readiness:
        """Return whether a configuration is active, or why not."""
        return self._tracker.readiness

    @property
    def problem(self) -> str | None:
        """Return the code of the problem that prevents adopting the newest revision, if any."""
        return self._tracker.problem

    def on_version_announcement(self, revision: int, peer: str | None = None) -> None:
        """Record the revision that a peer has announced; poll at once if it is newer.

        :param revision: the peer's revision; 0 for none.
        :param peer: the peer's name; needed to start during an outage.
        """
        with self._lock:
            is_new = self._tracker.on_version_announcement(revision, self._clock.now(), peer)
        if is_new:
            self._wake.set()

    def set_listed_nodes(self, names: frozenset[str]) -> None:
        """Set the names of the site's nodes, needed to start during an outage."""
        with self._lock:
            self._tracker.set_listed_nodes(names, self._clock.now())

    def revision_for_peers(self) -> documents.Revision | None:
        """Return the revision to send to a peer that requests it, or None."""
        return self._tracker.current

    def consider(self, revision: documents.Revision) -> bool:
        """Consider a revision received from a peer; return whether it was adopted."""
        with self._lock:
            adopted = self._tracker.consider(revision, self._clock.now())
        if adopted:
            self._notify_adopted()
        return adopted

    def poll(self) -> None:
        """Read the head once and adopt its revision if it is newer."""
        self.counts.polls += 1
        try:
            reached = self._poll()
        except codederrors.CodedError as error:
            # A damaged row or object must not stop the node: it continues to serve.
            reached = False
            with self._lock:
                self._tracker.problem = error.code
        if not reached:
            self.counts.failed_polls += 1

    def start(self) -> None:
        """Start the polling thread."""
        self._thread = threading.Thread(target=self._run, name="config-follower", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread; the active revision stays readable."""
        self._stopping = True
        self._wake.set()
        if self._thread is not None:
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping:
            self._wake.clear()
            self.poll()
            self._wake.wait(self._poll_s)

    def _poll(self) -> bool:
        asked_at = self._clock.now()
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return False
        head = headrecords.read_head(read.row.value) if isinstance(read, contract.Found) else None
        with self._lock:
            self._tracker.compare_head(head, asked_at)
            wanted = head is not None and self._tracker.needs_content(head)
        return self._fetch(head, asked_at) if wanted else True

    def _fetch(self, head: headrecords.Head, asked_at: float) -> bool:
        revision = self._content.read(head, previous=self._tracker.current)
        if isinstance(revision, contract.Unavailable):
            return False
        with self._lock:
            adopted = self._tracker.adopt_head(revision, asked_at, self._clock.now())
        if adopted:
            self._notify_adopted()
        return adopted

    def _notify_adopted(self) -> None:
        self.counts.adopted += 1
        self.on_adopted()


def _no_op() -> None:
    return None
