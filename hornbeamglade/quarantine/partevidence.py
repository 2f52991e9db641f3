"""Evidence against parts of prompts, from the reports received by one node.

Explanation
===========

A part of a prompt may crash every replica that begins to write an answer on it, whatever else the
request contains, so that no two requests with it are equal. A crash ends all runs of its replica,
and the requests with the part share their caller and their other parts with sound ones. The cause
is found as follows:

- A part counts the crashes that ended runs with it, one after the other (as in
  :mod:`hornbeamglade.quarantine.crashledger`), since a run with it last went well. Crashes that
  are explained by a part that was found before do not count.
- A crash does not count against a part if the part that follows in the prompt was in another
  crash as well, in a run of another request, up to :data:`COVERED_THRESHOLD` crashes. Otherwise
  the part that all prompts of a route begin with would be refused for one that follows it. That a
  request was sent twice and crashed both replicas says nothing about which of its parts did.
- The part with the most crashes is the cause, from :data:`CRASH_THRESHOLD` on, or from
  :data:`PROVEN_THRESHOLD` on if a run with it went well shortly before the first crash. If several
  have as many, the next crash tells which, until there are :data:`TIED_THRESHOLD`.

A part that only requests of one team contained is refused for that team, so that nobody can have
another team's part refused by sending it along with what crashes replicas.

The numbers of crashes and parts are bounded; the oldest crash is removed first.
"""

import collections
import collections.abc
import dataclasses

from hornbeamglade.quarantine import crashledger

CRASH_THRESHOLD = 3
PROVEN_THRESHOLD = 5
TIED_THRESHOLD = 5
COVERED_THRESHOLD = 7
PROVEN_S = 60.0
EVIDENCE_TTL_S = 3600.0
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 512
ALL_TEAMS = 0
UNKNOWN_REQUEST = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """A part that crashes replicas.

    :param part: hash of the part.
    :param team: hash of the team whose requests are refused, or :data:`ALL_TEAMS`.
    :param count: how many crashes counted against the part.
    """

    part: int
    team: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A part in the prompt of a run that a crash ended.

    :param part: hash of the part.
    :param team: hash of the caller's team.
    :param next_part: hash of the part that follows, or 0 if that is the last one, which no other
        request contains.
    :param request: fingerprint of the request, or 0 if it is not known.
    """

    part: int
    team: int
    next_part: int
    request: int = UNKNOWN_REQUEST


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    crash: crashledger.Crash
    suspects_by_part: dict[int, set[Suspect]] = dataclasses.field(default_factory=dict)


class PartEvidence:
    """Crashes of replicas with the parts of the prompts that they ended; not thread-safe.

    Examples
    ========

    >>> evidence = PartEvidence()
    >>> for number in range(3):
    ...     crash = crashledger.Crash(number, sent_at=number - 0.2, at=number)
    ...     _ = evidence.add(crash, [Suspect(7, team=1, next_part=0)], now=number)
    >>> evidence.find_culprits(now=2.0)
    (Culprit(part=7, team=1, count=3),)
    >>> evidence.find_culprits(now=2.0)
    ()
    """

    def __init__(self) -> None:
        self._record_by_replica: collections.OrderedDict[int, _CrashRecord]
        self._record_by_replica = collections.OrderedDict()
        self._went_well_at: dict[int, float] = {}
        self._team_by_culprit: dict[int, int] = {}

    def add(
        self,
        crash: crashledger.Crash,
        suspects: collections.abc.Iterable[Suspect],
        now: float,
    ) -> tuple[int, ...]:
        """Add evidence; return the parts that were not in this crash before."""
        self._expire(now)
        record = self._record_by_replica.get(crash.replica)
        if record is None:
            record = self._record_by_replica[crash.replica] = _CrashRecord(crash)
        added = []
        for suspect in suspects:
            if len(record.suspects_by_part) >= MAX_PARTS_PER_CRASH:
                break
            if suspect.part not in record.suspects_by_part:
                added.append(suspect.part)
            record.suspects_by_part.setdefault(suspect.part, set()).add(suspect)
        return tuple(added)

    def went_well(self, part: int, at: float) -> None:
        """Record that a run with a part went well at a time; ignored for other parts."""
        if any(part in each.suspects_by_part for each in self._record_by_replica.values()):
            self._went_well_at[part] = max(at, self._went_well_at.get(part, at))

    def count(self, part: int) -> int:
        """Return how many crashes count against a part."""
        return len(self._records_by_part().get(part, ()))

    def find_culprits(self, now: float) -> tuple[Culprit, ...]:
        """Return the parts that are newly taken for the cause of crashes."""
        self._expire(now)
        found = self._known_culprits_of_other_teams()
        while True:
            newest = self._leading()
            if not newest:
                return tuple(found)
            for culprit in newest:
                self._team_by_culprit[culprit.part] = culprit.team
            found += newest

    @property
    def crash_count(self) -> int:
        """How many crashes are known."""
        return len(self._record_by_replica)

    @property
    def suspect_count(self) -> int:
        """How many parts are known, once for each crash."""
        return sum(len(each.suspects_by_part) for each in self._record_by_replica.values())

    def _known_culprits_of_other_teams(self) -> list[Culprit]:
        """Return the parts found before that crashed a replica for another team."""
        found = []
        for part, team in tuple(self._team_by_culprit.items()):
            records = [
                each
                for each in self._record_by_replica.values()
                if part in each.suspects_by_part
                and any(suspect.team != team for suspect in each.suspects_by_part[part])
            ]
            if team != ALL_TEAMS and records:
                self._team_by_culprit[part] = ALL_TEAMS
                found.append(Culprit(part, ALL_TEAMS, len(records)))
        return found

    def _leading(self) -> list[Culprit]:
        """Return the parts with the most crashes if these are enough."""
        records_by_part = self._records_by_part()
        repeated = {part for part, records in records_by_part.items() if _repeats(part, records)}
        score_by_part = {
            part: score
            for part, records in records_by_part.items()
            if (score := self._score(part, records, repeated)) >= self._threshold(part, records)
        }
        if not score_by_part:
            return []
        most = max(score_by_part.values())
        leading = [part for part, score in score_by_part.items() if score == most]
        if len(leading) > 1 and most < TIED_THRESHOLD:
            return []
        return [self._culprit(part, records_by_part[part]) for part in leading]

    def _records_by_part(self) -> dict[int, list[_CrashRecord]]:
        """Return the crashes that count against each part, oldest first."""
        by_part: dict[int, list[_CrashRecord]] = collections.defaultdict(list)
        for record in sorted(self._record_by_replica.values(), key=lambda each: each.crash.at):
            if record.suspects_by_part.keys() & self._team_by_culprit.keys():
                continue
            for part in record.suspects_by_part:
                if record.crash.at > self._went_well_at.get(part, float("-inf")):
                    by_part[part].append(record)
        for part, records in by_part.items():
            counted = {each.replica for each in crashledger.counted([r.crash for r in records])}
            by_part[part] = [each for each in records if each.crash.replica in counted]
        return by_part

    def _score(
        self,
        part: int,
        records: list[_CrashRecord],
        repeated: collections.abc.Container[int],
    ) -> int:
        if len(records) >= COVERED_THRESHOLD:
            return len(records)
        return sum(
            not any(suspect.next_part in repeated for suspect in record.suspects_by_part[part])
            for record in records
        )

    def _threshold(self, part: int, records: list[_CrashRecord]) -> int:
        went_well_at = self._went_well_at.get(part)
        if went_well_at is None or records[0].crash.at - went_well_at >= PROVEN_S:
            return CRASH_THRESHOLD
        return PROVEN_THRESHOLD

    def _culprit(self, part: int, records: list[_CrashRecord]) -> Culprit:
        teams = {each.team for record in records for each in record.suspects_by_part[part]}
        team = teams.pop() if len(teams) == 1 else ALL_TEAMS
        return Culprit(part, team, len(records))

    def _expire(self, now: float) -> None:
        records = self._record_by_replica
        while records:
            oldest = next(iter(records.values()))
            if len(records) < MAX_CRASHES and now - oldest.crash.at < EVIDENCE_TTL_S:
                return
            records.popitem(last=False)
            known = {part for each in records.values() for part in each.suspects_by_part}
            for part in self._went_well_at.keys() - known:
                del self._went_well_at[part]
            for part in self._team_by_culprit.keys() - known:
                del self._team_by_culprit[part]


def _repeats(part: int, records: list[_CrashRecord]) -> bool:
    """Return whether several requests with a part crashed replicas, one after the other."""
    requests = {each.request for record in records for each in record.suspects_by_part[part]}
    return len(records) > 1 and (len(requests) > 1 or UNKNOWN_REQUEST in requests)
