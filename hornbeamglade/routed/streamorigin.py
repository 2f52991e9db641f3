"""The software version that began a stream: only engines of that version may continue it."""

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.observability import logs
from hornbeamglade.origins import origintable, streamorigins, versions
from hornbeamglade.routed import callrouter

ORIGIN_UNKNOWN = "stream_origin_unknown"
ORIGIN_RETRY_S = 0.5
"""An instance that is partitioned or has just started may know more after this time."""


class StreamOrigin:
    """What is known of the origin of one stream.

    :param routed: the request that begins it or takes it up.
    :param origins: the origins that the instances share.
    :param clock: monotonic time.
    :ivar version: key of the software version that began the stream, or None if not known.
    :ivar is_certain: whether no other version may have written any of its events.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        origins: streamorigins.StreamOrigins,
        clock: clocks.Clock,
    ) -> None:
        self._routed = routed
        self._origins = origins
        self._clock = clock
        call = routed.call
        first_id = call.resumed_id if call.resumes_stream else call.request_id
        self._stream = None if first_id is None else _stream_key(routed, first_id)
        self.version: int | None = None
        self.is_certain = True

    async def find(self) -> outcomes.Refusal | None:
        """Find the version of a stream that is taken up; return the refusal if it is not known."""
        routed = self._routed
        window_s = streamorigins.retention_s(routed.route.timeout_s)
        started_at = self._clock.now()
        found = await self._origins.find(self._stream, routed.service.name, window_s)
        self.version = found.version
        logs.decided(
            routed.call.request_id,
            "origin",
            "unknown" if self.version is None else "known",
            service=routed.service.name,
            resumes=routed.call.resumed_id,
            version=self._origins.version_name(self.version),
            source=found.source,
            age_s=None if found.sole_for_s is None else round(found.sole_for_s, 3),
            seconds=round(self._clock.now() - started_at, 4),
        )
        if self.version is not None:
            return None
        detail = "it is not known which software version of the service began the stream"
        return outcomes.Refusal(ORIGIN_UNKNOWN, 503, detail, retry_after_s=ORIGIN_RETRY_S)

    def note(self, version: str) -> None:
        """Record that an engine of a software version wrote events, unless others may have."""
        if not self.is_certain:
            return
        if self.version is None:
            self.version = versions.version_key(version)
        self._record(self.version)

    def lose(self) -> None:
        """Record that the stream may have events of another version."""
        self.is_certain = False
        self.version = None
        self._record(origintable.UNCERTAIN)

    def _record(self, version: int) -> None:
        routed = self._routed
        if self._stream is not None:
            kept_s = streamorigins.retention_s(routed.route.timeout_s)
            self._origins.began(self._stream, version, routed.service.name, kept_s)


def _stream_key(routed: callrouter.RoutedRequest, first_id: str) -> int:
    team = "" if routed.team is None else routed.team.name
    return versions.stream_key(first_id, routed.service.name, team)
