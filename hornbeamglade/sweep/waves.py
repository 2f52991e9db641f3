"""Plays some cases of one kind at once, at a site of their own."""

import asyncio
import collections
import collections.abc
import dataclasses
import threading
import time
import typing

from hornbeamglade.standins import (
    disturbances,
    disturbedwriter,
    recordingcaller,
    routedrequests,
)
from hornbeamglade.sweep import cases, kinds, sweepsite

GAP_S = 0.01
PAUSE_S = 0.6
"""How long a stalled response or a paused instance stands still: longer than a short deadline."""

GATHER_S = 0.01
"""Time in which further cases of a wave reach their byte before the instance stands still."""

WARM_FACTOR = 2
"""Requests per case that leave connections behind; cases may choose any replica."""

WARM_DEADLINE_S = 10.0
SETTLE_S = 0.05
"""Time after a response in which a replica might still be sent its request."""

SAMPLE_S = 0.02
BEGIN_TIMEOUT_S = 5.0
FOLLOWING_ROUTE = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """A case that was played.

    :param case: the case.
    :param seen: what was seen of it.
    :param was_met: whether its byte was reached on a connection of the intended use.
    """

    case: cases.Case
    seen: cases.Seen
    was_met: bool


class Wave:
    """Cases that are played at once.

    :param kind: the kind of exchange.
    :param wave_cases: the cases; all of them begin on first connections, or all on kept ones.
    """

    def __init__(self, kind: kinds.Kind, wave_cases: collections.abc.Sequence[cases.Case]) -> None:
        self._kind = kind
        self._case_by_id = {f"{number:016x}": case for number, case in enumerate(wave_cases)}
        self._lock = threading.Lock()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_paused = False
        self._caller_by_id: dict[str, recordingcaller.RecordingCaller] = {}
        self._was_first_by_id: dict[str, bool] = {}
        self._overlap_by_id: collections.Counter[str] = collections.Counter()
        self._refused_on_by_place: collections.defaultdict[
            tuple[str, typing.Any], list[asyncio.StreamWriter]
        ] = collections.defaultdict(list)
        self.writer_by_id: dict[str, disturbedwriter.DisturbedWriter] = {}

    async def play(self) -> list[Played]:
        """Play all cases."""
        self._loop = asyncio.get_running_loop()
        kind = self._kind
        site = sweepsite.SweepSite(
            self._wrap,
            kind.events,
            GAP_S,
            kinds.EVENT_BYTES,
            instances=3 if kind.is_relayed else 1,
            has_links=kind.is_relayed,
            misdirected=kind.misdirected,
        )
        for engine in site.engines:
            engine.faults = engine.faults.model_copy(update={"unframed": kind.is_unframed})
        try:
            await site.start()
            if kind.is_relayed:
                site.partition()
            if not next(iter(self._case_by_id.values())).is_first_use:
                await self._warm(site)
            self._caller_by_id = {
                each: recordingcaller.RecordingCaller(site.address, sweepsite.KEY)
                for each in self._case_by_id
            }
            received_by_id = await self._send_all(site)
            return [self._played(site, each, *received_by_id[each]) for each in self._case_by_id]
        finally:
            await site.stop()

    async def _warm(self, site: sweepsite.SweepSite) -> None:
        """Leave a connection for each case at every replica."""
        count = WARM_FACTOR * len(self._case_by_id)
        await asyncio.gather(
            *(
                recordingcaller.RecordingCaller(site.address, sweepsite.KEY).send(
                    self._kind.route, f"warm{number:012d}", WARM_DEADLINE_S
                )
                for number in range(count)
            )
        )

    async def _send_all(
        self, site: sweepsite.SweepSite
    ) -> dict[str, tuple[recordingcaller.Received, recordingcaller.Received]]:
        leaving = asyncio.ensure_future(self._leave(site)) if self._kind.moves_runs else None
        sampling = asyncio.ensure_future(self._sample_overlaps(site))
        try:
            received = await asyncio.gather(*(self._send(each) for each in self._case_by_id))
            await asyncio.sleep(SETTLE_S)
        finally:
            sampling.cancel()
            if leaving is not None:
                leaving.cancel()
        return dict(zip(self._case_by_id, received, strict=True))

    async def _send(
        self, request_id: str
    ) -> tuple[recordingcaller.Received, recordingcaller.Received]:
        caller, expected = self._caller_by_id[request_id], self._kind.expected
        received = await caller.send(
            self._kind.route, request_id, expected.deadline_s, self._kind.resumption
        )
        await asyncio.sleep(SETTLE_S)
        following = await caller.send(FOLLOWING_ROUTE, f"next{request_id[4:]}", WARM_DEADLINE_S)
        caller.close()
        return received, following

    async def _leave(self, site: sweepsite.SweepSite) -> None:
        """Let an engine leave that does not notice closed connections, once all runs began."""
        async with asyncio.timeout(BEGIN_TIMEOUT_S):
            while sum(len(each.run_by_id) for each in site.engines) < len(self._case_by_id):
                await asyncio.sleep(SAMPLE_S)
        await asyncio.sleep(SETTLE_S)
        source = site.engines[0]
        source.faults = source.faults.model_copy(
            update={"keeps_runs": True, "ignores_stops": self._kind.ignores_stops}
        )
        site.leave(source)

    async def _sample_overlaps(self, site: sweepsite.SweepSite) -> None:
        """Add up the time for which several engines work on the same request."""
        while True:
            alive = collections.Counter(
                run.request_id
                for engine in site.engines
                for run in tuple(engine.run_by_id.values())
                if run.is_alive and not run.is_stopped
            )
            self._overlap_by_id.update(
                {each: SAMPLE_S for each, count in alive.items() if count > 1}
            )
            await asyncio.sleep(SAMPLE_S)

    def _wrap(
        self, request: routedrequests.Request, writer: asyncio.StreamWriter
    ) -> asyncio.StreamWriter | disturbedwriter.DisturbedWriter:
        """Return the writer for the response to a request."""
        request_id = self._kind.target_id(request)
        with self._lock:
            is_refusal_connection = True
            if self._kind.is_sent_again and request.request_id in self._case_by_id:
                place = (request.request_id, writer.get_extra_info("sockname"))
                refused_on = self._refused_on_by_place[place]
                if not refused_on or not request_id:
                    refused_on.append(writer)
                    return writer
                is_refusal_connection = writer in refused_on
            case = self._case_by_id.get(request_id)
            if case is None or request_id in self.writer_by_id:
                return writer
            self._was_first_by_id[request_id] = request.is_first
            wrapped = self.writer_by_id[request_id] = disturbedwriter.DisturbedWriter(
                writer,
                case.disturbance if is_refusal_connection else None,
                request_id,
                PAUSE_S,
                lambda: self._act_elsewhere(request_id, case.disturbance.action),
            )
        return wrapped

    def _act_elsewhere(self, request_id: str, action: disturbances.Action) -> None:
        if action is disturbances.Action.CALLER_LEAVES:
            self._loop.call_soon_threadsafe(self._caller_by_id[request_id].close)
        elif not self._is_paused:
            self._is_paused = True
            self._loop.call_soon_threadsafe(self._loop.call_later, GATHER_S, time.sleep, PAUSE_S)

    def _played(
        self,
        site: sweepsite.SweepSite,
        request_id: str,
        received: recordingcaller.Received,
        next_received: recordingcaller.Received,
    ) -> Played:
        case = self._case_by_id[request_id]
        ran_at = tuple(
            record.replica_id
            for server in site.servers
            for record in server.ledger
            if record.request_id == request_id
        )
        overlap_s = self._overlap_by_id[request_id]
        writer = self.writer_by_id.get(request_id)
        was_reached = writer is not None and len(writer.sent) >= case.disturbance.at
        was_met = was_reached and (
            not self._kind.has_kept_connections
            or self._was_first_by_id[request_id] is case.is_first_use
        )
        seen = cases.Seen(request_id, received, next_received, ran_at, overlap_s)
        return Played(case, seen, was_met)
