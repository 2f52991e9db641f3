"""The documents of revisions in the object store, complete and as deltas."""

from hornbeamglade.configuration import documentdelta, documents, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract

ATTEMPTS = 3
RETRY_PAUSE_S = 0.2


class HeadContent:
    """Writes and reads documents by their digest.

    :param objects: the object store.
    :param clock: times the retries.
    """

    def __init__(self, objects: contract.ObjectStore, clock: clocks.Clock) -> None:
        self._objects = objects
        self._clock = clock

    def store(
        self, document: documents.Document, before: str | None
    ) -> contract.Unavailable | contract.Unknown | None:
        """Store a document under its digest; return the failure, or None.

        :param document: the document.
        :param before: the text of the previous document, or None.
        """
        key = headrecords.content_key(document.digest)
        outcome = self._objects.put(key, document.text)
        for _ in range(ATTEMPTS - 1):
            if not isinstance(outcome, contract.Unknown):
                break
            # The key is the content's digest, so storing it twice changes nothing.
            self._clock.sleep(RETRY_PAUSE_S)
            outcome = self._objects.put(key, document.text)
        if not isinstance(outcome, contract.Committed):
            return outcome
        if before is not None:
            # The outcome does not matter: without a delta, nodes read the whole document.
            delta = documentdelta.make(before, document.text)
            self._objects.put(headrecords.delta_key(document.digest), delta)
        return None

    def read(
        self,
        found: headrecords.Head | headrecords.AuditRecord,
        previous: documents.Revision | None = None,
    ) -> documents.Revision | contract.Unavailable:
        """Return the revision that a row refers to.

        :param found: the head or audit row.
        :param previous: a known revision, to which a delta may apply.
        :raises CodedError: when the content is missing or differs from its digest.
        """
        text = self._by_delta(found.digest, previous) if previous is not None else None
        if text is None:
            read = self._objects.get(headrecords.content_key(found.digest))
            if isinstance(read, contract.Unavailable):
                return read
            if isinstance(read, contract.Missing):
                detail = f"the content of revision {found.revision} is not in the object store"
                raise codederrors.CodedError("config_content_missing", detail)
            text = read.row.value
        revision = documents.Revision(found.revision, found.digest, found.change_id, text)
        revision.verify()
        return revision

    def _by_delta(self, digest: str, previous: documents.Revision) -> str | None:
        read = self._objects.get(headrecords.delta_key(digest))
        if not isinstance(read, contract.Found):
            return None
        text = documentdelta.apply(previous.document, read.row.value)
        if text is None or documents.digest(text) != digest:
            return None
        return text
