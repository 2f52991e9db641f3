"""Faults that only engines have: of their runs, their memory and their prompts."""

import dataclasses
import itertools
import signal
import threading
import time

from hornbeamglade.core import codederrors
from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.soak import faults, soaksite
from hornbeamglade.standins import routedcaller, routedfaults

FATAL_PART = "dead"
FATAL_PREFIX = "part"
ENGINE_MEMORY_TOKENS = 300
"""Room for two runs of the callers, which have 100 tokens of prompt and 40 events each."""

RESET_AFTER_EVENTS = 10
RUNS_END_S = 3.0
"""Longer than the runs that an engine had when it was listed as leaving."""

UNFRAMED_S = 1.0
"""Most streams that run at its end have begun since."""

PREEMPTED_AFTER_EVENTS = 12
PREEMPTED_S = 5.0
"""Longer than what is left of a stop when its early period is over."""

SECOND_NOTICE_S = 0.1
COPY_S = 0.4
"""Time of a copy, in which another engine announces its stop."""

PIECES_S = 0.4
PIECES_BYTES = 800


class EngineIgnoresStops(faults.Fault):
    """An engine leaves, ignores orders to stop runs, and keeps runs whose streams it resets."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it do so, and kill it once all of its runs have ended."""
        site = soak_site.site
        server = site.server_by_place[self.component]
        site.faults(
            self.component,
            reset_after_events=RESET_AFTER_EVENTS,
            keeps_runs=True,
            ignores_stops=True,
        )
        site.put_json(self.component, "/standin/leave", {})
        site.list_server(server, is_leaving=True)
        time.sleep(RUNS_END_S)
        site.child_by_name[self.component].send(signal.SIGKILL)
        site.unlist_server(server)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start a replacement."""
        faults.replace(soak_site, self.component)


class PartCrashesEngines(faults.Fault):
    """A caller sends requests that share a part of their prompts, which crashes each engine.

    :param component: ``engines``, which stands for all engines.
    """

    extra_duration_s = 8.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let the part crash engines, and start the caller."""
        self._unlisted: set[routedsite.Server] = set()
        self._part = f"{FATAL_PART}{soak_site.next_pool_number()}"
        self._set_part(soak_site, self._part)
        self._stopped = threading.Event()
        self._caller = threading.Thread(
            target=self._send_repeatedly, args=(soak_site,), daemon=True
        )
        self._caller.start()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Stop the caller and restart the crashed engines."""
        self._stopped.set()
        self._caller.join()
        self._set_part(soak_site, "")
        self._part = ""
        until = time.monotonic() + faults.EXIT_S
        self._restart_crashed(soak_site)
        while self._unlisted and time.monotonic() < until:
            time.sleep(faults.FATAL_PAUSE_S)
            self._restart_crashed(soak_site)

    def _send_repeatedly(self, soak_site: soaksite.SoakSite) -> None:
        caller = routedcaller.RoutedCaller(keep=False)
        names = itertools.cycle(soak_site.site.instance_names)
        key = soak_site.keys_by_team[soaksite.TEAMS[0]][0]
        for number in itertools.count():
            address = soak_site.site.callers_address(next(names))
            request_id = f"{FATAL_PREFIX}{soak_site.seed}.{self._part}-{number}"
            result = caller.send(address, "tag", request_id, key, part=self._part)
            soak_site.extra_results.append(result)
            if self._stopped.wait(faults.FATAL_PAUSE_S):
                return
            self._restart_crashed(soak_site)

    def _restart_crashed(self, soak_site: soaksite.SoakSite) -> None:
        for place in soak_site.site.server_by_place:
            if place.startswith("engine") and not faults.listens(
                soak_site.site.address_by_name[place]
            ):
                self._unlisted.add(faults.replace(soak_site, place))
                self._set_part_at(soak_site, place, self._part)
        # The store may have been down when they were listed.
        self._unlisted = {each for each in self._unlisted if not soak_site.site.list_server(each)}

    def _set_part(self, soak_site: soaksite.SoakSite, part: str) -> None:
        for place in soak_site.site.server_by_place:
            if place.startswith("engine"):
                self._set_part_at(soak_site, place, part)

    def _set_part_at(self, soak_site: soaksite.SoakSite, place: str, part: str) -> None:
        try:
            soak_site.site.faults(place, crash_on_part=part)
        except codederrors.CodedError:
            # It has crashed since it was seen to listen, and is replaced at the next look.
            return


class MemoryShrinks(faults.Fault):
    """An engine has little memory, and crashes if its runs exceed it."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Bound its memory; its reports state the bound."""
        soak_site.site.faults(self.component, memory_tokens=ENGINE_MEMORY_TOKENS)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Remove the bound, or replace the engine if it has crashed."""
        if faults.listens(soak_site.site.address_by_name[self.component]):
            soak_site.site.faults(self.component)
        else:
            faults.replace(soak_site, self.component)


@dataclasses.dataclass
class EngineClosesStreams(faults.Fault):
    """An engine leaves, and only the ends of connections show the ends of its streams.

    :param component: the engine.
    :param stop_reply: how it answers orders to stop runs; None if no run can be copied and it
        closes its streams in order at the end of its notice.
    """

    component: str
    stop_reply: routedfaults.StopReply | None
    begin_duration_s = UNFRAMED_S + faults.NOTICE_S

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it send streams without framing, mark it as leaving, and end it."""
        site = soak_site.site
        server = site.server_by_place[self.component]
        is_kept = self.stop_reply is None
        how = {"no_room": True, "ends_runs": True} if is_kept else {"stop_reply": self.stop_reply}
        site.faults(self.component, unframed=True, **how)
        time.sleep(UNFRAMED_S)
        site.put_json(self.component, "/standin/leave", {})
        site.list_server(server, is_leaving=True)
        time.sleep(faults.NOTICE_S)
        site.child_by_name[self.component].send(signal.SIGTERM if is_kept else signal.SIGKILL)
        site.unlist_server(server)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start a replacement."""
        faults.replace(soak_site, self.component)


class EnginePreempts(faults.Fault):
    """An engine preempts each of its runs once, in the middle of the stream."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let its streams pause."""
        soak_site.site.faults(
            self.component, preempted_after_events=PREEMPTED_AFTER_EVENTS, preempted_s=PREEMPTED_S
        )

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let further streams go on without a pause."""
        soak_site.site.faults(self.component)


class EngineWorksOn(faults.Fault):
    """An engine resets its streams and goes on with their runs, until it is told to stop them."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it do so."""
        soak_site.site.faults(
            self.component, reset_after_events=RESET_AFTER_EVENTS, keeps_runs=True
        )

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it respond normally again."""
        soak_site.site.faults(self.component)


@dataclasses.dataclass
class EnginesLeaveInTurn(faults.Fault):
    """An engine leaves, and a second one while runs of the first are copied to it.

    :param component: ``engines``, which stands for all of them.
    :param first: the engine that leaves first.
    :param second: the one that leaves after it.
    """

    component: str
    first: str
    second: str
    begin_duration_s = SECOND_NOTICE_S + faults.NOTICE_S

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let copies take long, announce both stops, and kill both at the end of their notices."""
        site = soak_site.site
        soak_site.site.faults(self.first, copy_s=COPY_S)
        for place in (self.first, self.second):
            site.put_json(place, "/standin/leave", {})
            site.list_server(site.server_by_place[place], is_leaving=True)
            time.sleep(SECOND_NOTICE_S)
        time.sleep(faults.NOTICE_S - SECOND_NOTICE_S)
        for place in (self.first, self.second):
            site.child_by_name[place].send(signal.SIGKILL)
            site.unlist_server(site.server_by_place[place])

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start replacements."""
        for place in (self.first, self.second):
            faults.replace(soak_site, place)


class ServerKilledWithinResponse(faults.Fault):
    """A service sends responses without a length in pieces, and is killed between two of them."""

    begin_duration_s = UNFRAMED_S

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it do so, and kill it."""
        soak_site.site.faults(
            self.component, unframed=True, pieces_s=PIECES_S, response_bytes=PIECES_BYTES
        )
        time.sleep(UNFRAMED_S)
        # A proxy would accept another connection for a server that listens no more.
        soak_site.links[self.component].partition(tcpproxy.Partition.REFUSE_NEW)
        soak_site.site.child_by_name[self.component].send(signal.SIGKILL)
        soak_site.site.unlist_server(soak_site.site.server_by_place[self.component])

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start a replacement."""
        soak_site.links[self.component].release()
        faults.replace(soak_site, self.component)
