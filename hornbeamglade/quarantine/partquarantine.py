"""Refusal of requests whose prompts contain a part that crashes replicas.

Explanation
===========

The counterpart of :mod:`hornbeamglade.quarantine.requestquarantine` for requests of which no two
are equal:

1. A run counts as evidence against the parts of its prompt only if its replica crashed before the
   run had gone well, that is, before it was complete or had produced events for
   :data:`WENT_WELL_S`. The last part is never suspected: no other request contains it.
2. Evidence is collected by the home instances of each service, since the parts in a crash have to
   be compared with each other. Only these decide
   (:mod:`hornbeamglade.quarantine.partevidence`), shortly after the last evidence, since the
   reports of one crash come from several instances.
3. A home instance that gets new evidence asks all instances about the parts. Those that have seen
   a run with one of them go well respond, and inform it of such runs for :data:`WATCH_S`. Crashes
   before such a run do not count against the part.
4. Until then a request with a part in question is sent a second time only after
   :data:`SECOND_SEND_DELAY_S`, by which the crash that it may have caused is counted.

The parts that are refused are kept, spread and stored with the refused requests.

Alternatives considered: *counting at each instance alone* (with ``n`` instances ``n`` times as
many replicas are lost); *statistics over all runs* (the share of crashes by part; needs counts of
all parts in all runs at one place, thousands a second); *trying a suspected part at one replica*
(loses one replica, with all its runs, for each suspicion).
"""

import collections
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import (
    crashledger,
    fingerprints,
    lostruns,
    partevidence,
    requestquarantine,
    retransmissions,
)

WENT_WELL_S = 1.0
"""A replica crashes within some tenths of a second of the first event."""

WATCH_S = 60.0
SETTLING_S = 0.03
"""The reports of one crash arrive within this time of each other."""

SECOND_SEND_DELAY_S = 0.12
"""A closed port is found, reported, counted and announced within this time."""

MAX_OBSERVED = 64
MAX_LOGGED = 8
MAX_SUCCESSES = 8192
MAX_WATCHED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Observed:
    """A run that this instance lost in a crash."""

    service: int
    crash: crashledger.Crash
    suspects: list[partevidence.Suspect]


class PartQuarantine:
    """The evidence against parts of prompts at one instance; for its event loop only.

    :param name: this instance's name.
    :param live: returns the names of the live instances.
    :param present: returns the names of the instances that may serve callers.
    :param send: sends a message to an instance.
    :param quarantine: refuses the parts that are found.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        name: str,
        live: requestquarantine.Names,
        present: requestquarantine.Names,
        send: requestquarantine.Send,
        quarantine: requestquarantine.RequestQuarantine,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._live = live
        self._present = present
        self._send = send
        self._quarantine = quarantine
        self._clock = clock
        self._evidence = partevidence.PartEvidence()
        self._reports = retransmissions.Retransmissions()
        self._observed: collections.OrderedDict[int, list[_Observed]] = collections.OrderedDict()
        self._decision_at: float | None = None
        self._succeeded_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._watched: collections.OrderedDict[int, dict[str, float]] = collections.OrderedDict()
        self._inquiries: dict[int, None] = {}

    def crashed(self, replica_id: str, lost: collections.abc.Iterable[lostruns.LostRun]) -> None:
        """Record the runs that ended with a crash of their replica."""
        now = self._clock.now()
        replica = messages.key_hash(replica_id)
        for run in lost:
            if run.prompt is None:
                continue
            crash = crashledger.Crash(replica, run.sent_at, run.ended_at)
            prompt = run.prompt
            following = (*prompt.parts[1:], 0)
            suspects = [
                partevidence.Suspect(part, prompt.team, next_part, run.fingerprint)
                for part, next_part in zip(prompt.parts, following, strict=True)
            ]
            if self._decides_on(prompt.service):
                self._add(crash, suspects, now)
            self._observed.setdefault(replica, []).append(
                _Observed(prompt.service, crash, suspects)
            )
            self._reports.add(replica, now)
            logs.state_changed(
                "prompt",
                "running",
                "crashed",
                replica=replica_id,
                fingerprint=fingerprints.to_hex(run.fingerprint),
                parts=",".join(fingerprints.to_hex(part) for part in prompt.parts[:MAX_LOGGED]),
            )
        while len(self._observed) > MAX_OBSERVED:
            self._observed.popitem(last=False)
        self.tick()

    def went_well(self, prompt: lostruns.PromptParts) -> None:
        """Record a run that went well at its replica."""
        now = self._clock.now()
        successes: dict[str, list[messages.PartSuccess]] = {}
        for part in prompt.parts:
            self._succeeded_at[part] = now
            self._succeeded_at.move_to_end(part)
            self._evidence.went_well(part, now)
            for watcher, until in self._watched.get(part, {}).items():
                if now < until:
                    successes.setdefault(watcher, []).append(messages.PartSuccess(part, 0))
        while len(self._succeeded_at) > MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        for watcher, listed in successes.items():
            self._send_successes(watcher, listed)

    def is_suspected(self, prompt: lostruns.PromptParts) -> bool:
        """Return whether a part of a prompt may be the cause of a recent crash."""
        now = self._clock.now()
        return any(
            until > now and self._succeeded_at.get(part, float("-inf")) < until - WATCH_S
            for part in prompt.parts
            for until in self._watched.get(part, {}).values()
        )

    def on_report(self, report: messages.PartCrashReport) -> None:
        """Process evidence from another instance."""
        if not self._decides_on(report.service):
            return
        now = self._clock.now()
        for each in report.crashes:
            at = now - each.age_ms / requestquarantine.MILLISECONDS
            sent_at = at - each.ran_ms / requestquarantine.MILLISECONDS
            crash = crashledger.Crash(each.replica, sent_at, at)
            suspect = partevidence.Suspect(each.part, each.team, each.next_part, each.request)
            self._add(crash, (suspect,), now)
        self.tick()

    def on_inquiry(self, sender: str, inquiry: messages.PartInquiry) -> None:
        """Tell a home instance which parts went well, now and for some time."""
        now = self._clock.now()
        known = []
        for part in inquiry.parts:
            self._watched.setdefault(part, {})[sender] = now + WATCH_S
            self._watched.move_to_end(part)
            succeeded_at = self._succeeded_at.get(part)
            if succeeded_at is not None:
                age_ms = int((now - succeeded_at) * requestquarantine.MILLISECONDS)
                known.append(messages.PartSuccess(part, age_ms))
        while len(self._watched) > MAX_WATCHED:
            self._watched.popitem(last=False)
        if known and sender != self._name:
            self._send_successes(sender, known)

    def on_successes(self, successes: messages.PartSuccesses) -> None:
        """Process the times at which runs with parts went well at another instance."""
        now = self._clock.now()
        for each in successes.parts:
            at = now - each.age_ms / requestquarantine.MILLISECONDS
            self._evidence.went_well(each.part, at)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is due soon."""
        return self._reports.is_empty and self._decision_at is None and not self._inquiries

    def tick(self) -> None:
        """Send the messages that are due, and decide on parts with new evidence."""
        if self.is_idle:
            return
        now = self._clock.now()
        self._send_inquiries()
        self._send_reports(now)
        if self._decision_at is not None and self._decision_at <= now:
            self._decision_at = None
            for culprit in self._evidence.find_culprits(now):
                key = lostruns.part_key(culprit.part, culprit.team)
                self._quarantine.refuse_part(key, culprit.part, culprit.count)

    def forget_old(self) -> None:
        """Forget what is no longer needed; to be called about every second."""
        now = self._clock.now()
        if self._reports.is_empty:
            self._observed.clear()
        for part, until_by_sender in tuple(self._watched.items()):
            if all(until <= now for until in until_by_sender.values()):
                del self._watched[part]

    def _decides_on(self, service: int) -> bool:
        return self._name in self._homes(service)

    def _add(
        self,
        crash: crashledger.Crash,
        suspects: collections.abc.Iterable[partevidence.Suspect],
        now: float,
    ) -> None:
        """Add evidence, and inquire about the parts that are new in this crash."""
        added = self._evidence.add(crash, suspects, now)
        if added:
            self._decision_at = now + SETTLING_S
            self._inquiries.update(dict.fromkeys(added))
            for part in added:
                if part in self._succeeded_at:
                    self._evidence.went_well(part, self._succeeded_at[part])

    def _homes(self, service: int) -> list[str]:
        nodes = {*self._live(), self._name}
        key = fingerprints.to_hex(service)
        return rendezvous.best(key, nodes, requestquarantine.HOME_COUNT)

    def _send_inquiries(self) -> None:
        parts = tuple(self._inquiries)
        self._inquiries.clear()
        for start in range(0, len(parts), messages.MAX_PARTS):
            inquiry = messages.PartInquiry(parts[start : start + messages.MAX_PARTS])
            for node in self._present():
                if node != self._name:
                    self._send(node, inquiry)
            self.on_inquiry(self._name, inquiry)

    def _send_reports(self, now: float) -> None:
        """Send the evidence that is due to the home instances."""
        for replica in self._reports.due(now, MAX_OBSERVED):
            crashes_by_service: dict[int, list[messages.ReportedPartCrash]] = {}
            for each in self._observed.get(replica, ()):
                age_ms = int((now - each.crash.at) * requestquarantine.MILLISECONDS)
                ran_s = each.crash.at - each.crash.sent_at
                ran_ms = int(ran_s * requestquarantine.MILLISECONDS)
                crashes_by_service.setdefault(each.service, []).extend(
                    messages.ReportedPartCrash(
                        suspect.part,
                        replica,
                        suspect.team,
                        suspect.next_part,
                        age_ms,
                        ran_ms,
                        suspect.request,
                    )
                    for suspect in each.suspects
                )
            for service, crashes in crashes_by_service.items():
                self._send_report(service, crashes)

    def _send_report(self, service: int, crashes: list[messages.ReportedPartCrash]) -> None:
        size = messages.MAX_REPORTED_PARTS
        for home in self._homes(service):
            if home == self._name:
                continue
            for start in range(0, len(crashes), size):
                part = tuple(crashes[start : start + size])
                self._send(home, messages.PartCrashReport(service, part))

    def _send_successes(self, node: str, parts: list[messages.PartSuccess]) -> None:
        for start in range(0, len(parts), messages.MAX_PARTS):
            listed = tuple(parts[start : start + messages.MAX_PARTS])
            self._send(node, messages.PartSuccesses(listed))
