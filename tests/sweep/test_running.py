"""One exchange, disturbed at every byte of its head, and at some of all others."""

import asyncio

import pytest

from hornbeamglade.standins import disturbances
from hornbeamglade.sweep import kinds, running

KIND_BY_NAME = {kind.name: kind for kind in kinds.KINDS}
EVERYWHERE = {"close", "insert refusal", "insert_apart refusal", "insert misdirected_other"}
SHARE_BY_NAME = {"unstopped": 0.25} | {
    name: 0.34 for name, kind in KIND_BY_NAME.items() if kind.is_sent_again
}
SHARE = 0.005
SEED = 3


def broken_rows(kind, kind_cases):
    rows = asyncio.run(running.sweep(kind, kind_cases))
    assert sum(row.played for row in rows) > 0.5 * len(kind_cases)
    return [(row.use, row.disturbance, row.verdict) for row in rows if row.broken_at]


@pytest.mark.parametrize("name", ["single", "stream"])
def test_head_may_break_off_at_every_byte(name):
    """Guards against second runs, and heads that are taken for whole ones."""
    kind = KIND_BY_NAME[name]
    good = asyncio.run(running.record(kind))
    head_bytes = good.index(kinds.HEAD_END) + len(kinds.HEAD_END)
    chosen = [
        case
        for case in kind.cases(good)
        if case.disturbance.name in EVERYWHERE and case.disturbance.at <= head_bytes
    ]
    assert broken_rows(kind, chosen) == []


@pytest.mark.parametrize("name", KIND_BY_NAME)
def test_sample_of_each_kind_of_exchange_holds(name):
    kind = KIND_BY_NAME[name]
    all_cases = list(kind.cases(asyncio.run(running.record(kind))))
    chosen = running.sample(all_cases, SHARE_BY_NAME.get(name, SHARE), SEED)
    assert broken_rows(kind, chosen) == []


def test_cases_of_a_kind_meet_each_byte_and_use():
    kind = KIND_BY_NAME["single"]
    good = asyncio.run(running.record(kind))
    closed = [
        (case.disturbance.at, case.is_first_use)
        for case in kind.cases(good)
        if case.disturbance.action is disturbances.Action.CLOSE
    ]
    assert sorted(closed) == [(at, use) for at in range(len(good)) for use in (False, True)]
