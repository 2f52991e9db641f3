"""Which part of the prompts is taken for the cause of crashes."""

import pytest

from hornbeamglade.quarantine import crashledger, partevidence

COMMON, FATAL, OTHER = 1, 2, 3
CLINIC, COURT = 11, 12


class Ledger:
    """Adds a crash a second, with the prompts of the runs that it ended."""

    def __init__(self):
        self.evidence = partevidence.PartEvidence()
        self.now = 100.0
        self.crashes = 0
        self.found = {}

    def crash(self, *prompts, team=CLINIC, gap_s=1.0, request=0):
        self.now += gap_s
        self.crashes += 1
        crash = crashledger.Crash(self.crashes, self.now - 0.2, self.now)
        for parts in prompts:
            suspects = [
                partevidence.Suspect(part, team, following, request)
                for part, following in zip(parts, (*parts[1:], 0), strict=True)
            ]
            self.evidence.add(crash, suspects, self.now)

    def culprits(self):
        found = self.evidence.find_culprits(self.now)
        self.found |= {each.part: each.team for each in found}
        return self.found


@pytest.fixture
def ledger():
    return Ledger()


def test_part_in_three_crashes_is_the_culprit_and_not_the_part_before_it(ledger):
    """The beginning that all prompts of a route share is refused for a part that follows it."""
    for number in range(3):
        assert ledger.culprits() == {}
        ledger.crash((COMMON, FATAL), (COMMON, 100 + number))
    assert ledger.culprits() == {FATAL: CLINIC}


def test_common_part_is_the_culprit_if_no_part_that_follows_explains_the_crashes(ledger):
    for number in range(3):
        ledger.crash((COMMON, 100 + number))
    assert ledger.culprits() == {COMMON: CLINIC}


def test_run_that_went_well_clears_its_parts(ledger):
    """A sound part that many requests contain is in the batch of each crash."""
    for _ in range(10):
        ledger.crash((FATAL,), (OTHER,))
        ledger.evidence.went_well(OTHER, ledger.now + 0.5)
    assert ledger.culprits() == {FATAL: CLINIC}


@pytest.mark.parametrize(("crashes", "expected"), [(4, {}), (5, {OTHER: CLINIC})])
def test_part_that_went_well_shortly_before_needs_more_crashes(ledger, crashes, expected):
    for _ in range(crashes):
        ledger.crash((OTHER,))
        ledger.evidence.went_well(OTHER, 95.0)
    assert ledger.culprits() == expected


def test_crashes_at_the_same_moment_count_as_one(ledger):
    """A failure domain loses power: a part that ran at each of its replicas is refused."""
    for _ in range(6):
        ledger.crash((FATAL,), gap_s=0.005)
    assert ledger.culprits() == {}


def test_part_that_several_teams_sent_is_refused_for_all(ledger):
    for team in (CLINIC, CLINIC, COURT):
        ledger.crash((FATAL,), team=team)
    assert ledger.culprits() == {FATAL: partevidence.ALL_TEAMS}


def test_part_that_one_team_sent_along_is_refused_for_that_team_only(ledger):
    """A team sends another team's part along with what crashes replicas."""
    for number in range(3):
        ledger.crash((FATAL + number * 100, OTHER), team=COURT)
    assert ledger.culprits() == {OTHER: COURT}


def test_two_culprits_at_a_time_are_both_found(ledger):
    for number in range(6):
        ledger.crash((COMMON, (FATAL, OTHER)[number % 2]))
        ledger.culprits()
    assert ledger.culprits() == {FATAL: CLINIC, OTHER: CLINIC}


def test_culprit_that_comes_back_after_an_hour_needs_three_crashes_again(ledger):
    for _ in range(3):
        ledger.crash((FATAL,))
    ledger.crash((FATAL,), gap_s=partevidence.EVIDENCE_TTL_S)
    assert ledger.culprits() == {}
    ledger.crash((FATAL,))
    ledger.crash((FATAL,))
    assert ledger.culprits() == {FATAL: CLINIC}


def test_reports_of_one_crash_from_several_instances_count_once(ledger):
    crash = crashledger.Crash(7, 99.8, 100.0)
    for number in range(10):
        late = crashledger.Crash(7, crash.sent_at + number / 1000, crash.at + number / 1000)
        ledger.evidence.add(late, [partevidence.Suspect(FATAL, CLINIC, 0)], 100.0)
    assert ledger.evidence.count(FATAL) == 1


def test_crashes_and_invented_parts_are_bounded(ledger):
    for number in range(partevidence.MAX_CRASHES + 10):
        ledger.crash(tuple(range(1000 * number + 1, 1000 * number + 900)))
    assert ledger.evidence.crash_count == partevidence.MAX_CRASHES
    bound = partevidence.MAX_CRASHES * partevidence.MAX_PARTS_PER_CRASH
    assert ledger.evidence.suspect_count == bound


def test_part_that_was_in_as_many_crashes_waits_for_the_next_one(ledger):
    """A sound part is in the batches of the first three crashes, and goes well nowhere."""
    for _ in range(3):
        ledger.crash((COMMON, FATAL), (COMMON, OTHER))
        assert ledger.culprits() == {}
    ledger.crash((COMMON, FATAL), (COMMON, 9))
    assert ledger.culprits() == {FATAL: CLINIC}
    for _ in range(2):
        ledger.crash((COMMON, OTHER))
    assert ledger.culprits() == {FATAL: CLINIC}


def test_parts_that_are_always_together_are_both_refused_after_five_crashes(ledger):
    for _ in range(5):
        ledger.crash((COMMON, FATAL), (COMMON, OTHER))
    assert ledger.culprits() == {FATAL: CLINIC, OTHER: CLINIC}


def test_common_part_with_few_that_follow_is_found_after_seven_crashes(ledger):
    for number in range(7):
        ledger.crash((COMMON, 100 + number % 4))
    assert COMMON in ledger.culprits()


def test_part_is_refused_for_all_once_it_crashed_a_replica_of_another_team(ledger):
    for _ in range(3):
        ledger.crash((FATAL,))
    assert ledger.culprits() == {FATAL: CLINIC}
    ledger.crash((FATAL,), team=COURT)
    assert ledger.culprits() == {FATAL: partevidence.ALL_TEAMS}


@pytest.mark.parametrize("place", ["first", "in the middle", "next to the last"])
@pytest.mark.parametrize("sends", [1, 2])
def test_part_is_found_by_the_fifth_crash_wherever_it_is(ledger, place, sends):
    """A request's second crash was taken for evidence against the part of its session."""
    for number in range(5):
        session = 100 + number // sends
        prompt = {
            "first": (FATAL, COMMON, session),
            "in the middle": (COMMON, FATAL, session),
            "next to the last": (COMMON, FATAL),
        }[place]
        # Sound runs with the other parts end in each crash, and go well elsewhere before.
        ledger.evidence.went_well(COMMON, ledger.now)
        ledger.crash(prompt, request=1 + number // sends)
        ledger.evidence.went_well(COMMON, ledger.now + 0.5)
        ledger.culprits()
    assert ledger.culprits().keys() == {FATAL}


@pytest.mark.parametrize("sends", [1, 2])
def test_common_part_is_not_refused_for_one_that_follows_it_in_repeated_requests(ledger, sends):
    """All prompts of a route would be refused for a part that some of them contain."""
    for number in range(9):
        request = 1 + number // sends
        ledger.crash((COMMON, FATAL, 100 + request), request=request)
        ledger.culprits()
    assert ledger.culprits() == {FATAL: CLINIC}


def test_batches_of_sound_requests_that_are_sent_twice_are_not_refused(ledger):
    """Sound runs are lost with the fatal one, sent again, and lost a second time."""
    for number in range(6):
        batch = number // 2
        ledger.crash((COMMON, FATAL, 100 + batch), request=1 + batch)
        for sound in range(8):
            suspects = [
                partevidence.Suspect(part, CLINIC, following, 1000 * batch + sound + 500)
                for part, following in ((COMMON, 200 + 10 * batch + sound),)
            ]
            suspects.append(
                partevidence.Suspect(
                    200 + 10 * batch + sound, CLINIC, 0, 1000 * batch + sound + 500
                )
            )
            crash = crashledger.Crash(ledger.crashes, ledger.now - 0.2, ledger.now)
            ledger.evidence.add(crash, suspects, ledger.now)
        ledger.culprits()
    assert ledger.culprits() == {FATAL: CLINIC}
