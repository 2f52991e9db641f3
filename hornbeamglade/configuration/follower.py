"""A node's copy of the configuration: one thread that polls the head.

Explanation
===========

Polling reads one row; the content is fetched only when the number has grown.
A hint from a peer makes the next poll come at once. All decisions are those of
:class:`hornbeamglade.configuration.following.RevisionTracker`; here are the calls to
the platform, the thread, and one lock around the decisions. The lock is never
held over a call to the platform.
"""

import collections.abc
import dataclasses
import threading

from hornbeamglade.configuration import documents, following, headcontent, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract

POLL_S = 1.0
JOIN_S = 10.0


@dataclasses.dataclass(slots=True)
class FollowerCounts:
    """What the follower has done since it began; only grows."""

    polls: int = 0
    failed_polls: int = 0
    adopted: int = 0


class Follower:
    """Follows the head of one site's configuration.

    :param table: holds the head row.
    :param objects: holds the documents.
    :param clock: dates what is read.
    :param site: the node's site.
    :param node: the node's name.
    :param poll_s: seconds between polls.

    ``on_adopted`` is called after each adoption, in the thread that brought it.
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
        self._following = following.RevisionTracker(site, node)
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self.counts = FollowerCounts()
        self.on_adopted: collections.abc.Callable[[], None] = _nothing

    def current(self) -> documents.Revision | None:
        """Return the revision in force at this node; never a lower one than before."""
        return self._following.current

    def active(self) -> following.ActiveRevision | None:
        """Return the revision with the site's configuration that it gives, as one value."""
        return self._following.active

    @property
    def provisional(self) -> bool:
        """Return whether the revision came from peers and no head has confirmed it."""
        return self._following.provisional

    @property
    def age_s(self) -> float | None:
        """Return seconds since the revision was seen to be the newest, None for never."""
        return self._following.age_s(self._clock.now())

    @property
    def readiness(self) -> following.Readiness:
        """Return whether there is a configuration to serve by, or why not."""
        return self._following.readiness

    @property
    def problem(self) -> str | None:
        """Return the code of what keeps the newest revision out, if anything does."""
        return self._following.problem

    def on_version_announcement(self, revision: int, peer: str | None = None) -> None:
        """Note that a peer holds ``revision`` (0 for none); poll at once if it is news.

        :param peer: the peer's name; needed for starting during an outage.
        """
        with self._lock:
            news = self._following.on_version_announcement(revision, self._clock.now(), peer)
        if news:
            self._wake.set()

    def set_listed_nodes(self, names: frozenset[str]) -> None:
        """Take the names of the site's nodes, for starting during an outage."""
        with self._lock:
            self._following.set_listed_nodes(names, self._clock.now())

    def revision_for_peers(self) -> documents.Revision | None:
        """Return what to give a peer that asks, or None."""
        return self._following.current

    def consider(self, revision: documents.Revision) -> bool:
        """Consider a revision that a peer gave; return whether it is now in force."""
        with self._lock:
            adopted = self._following.consider(revision, self._clock.now())
        if adopted:
            self._tell_adopted()
        return adopted

    def poll(self) -> None:
        """Read the head once and adopt what is newer."""
        self.counts.polls += 1
        try:
            reached = self._poll()
        except codederrors.CodedError as error:
            # A damaged row or object must not stop the node: it serves on.
            reached = False
            with self._lock:
                self._following.problem = error.code
        if not reached:
            self.counts.failed_polls += 1

    def start(self) -> None:
        """Begin to poll in a thread of its own."""
        self._thread = threading.Thread(target=self._run, name="config-follower", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread; what is in force stays readable."""
        self._stopping = True
        self._wake.set()
        if self._thread is not None:
            self._thread.join(JOIN_S)

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
            self._following.see_head(head, asked_at)
            wanted = head is not None and self._following.wants(head)
        return self._fetch(head, asked_at) if wanted else True

    def _fetch(self, head: headrecords.Head, asked_at: float) -> bool:
        revision = self._content.read(head, held=self._following.current)
        if isinstance(revision, contract.Unavailable):
            return False
        with self._lock:
            adopted = self._following.take_head(revision, asked_at, self._clock.now())
        if adopted:
            self._tell_adopted()
        return adopted

    def _tell_adopted(self) -> None:
        self.counts.adopted += 1
        self.on_adopted()


def _nothing() -> None:
    return None
