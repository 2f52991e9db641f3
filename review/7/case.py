"""A stream that came late in a planned stop is cut when its replica runs out of memory."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import engines  # noqa: E402
import site2  # noqa: E402

PROMPT_TOKENS = 2_550
MAX_EVENTS = 400
MAX_TOKENS = 80
LONG_TOKENS = 1_200
SENT_AFTER_S = 3.4
OTHERS = 9
OTHER_TOKENS = 2_835
GRACE_S = 8.0
INSTANCES = ("entry-1", "entry-2", "entry-3")


async def case(site: site2.Site, has_trouble: bool) -> bool:
    """Return whether a request that was passed on got no complete answer."""
    site.start_store()
    farm = engines.Farm(site)
    site.write_config(
        [
            site2.route(
                "draft", "streaming", "llm", gap_goal_ms=180, goal_ms=1_500, timeout_ms=39_000
            )
        ],
        [engines.SERVICE],
    )
    await farm.add("i-0", "krk-a", MAX_EVENTS)
    for name in INSTANCES:
        site.start_entry(name)
    for name in INSTANCES:
        await asyncio.to_thread(site.await_ready, name)
    await asyncio.sleep(3)
    for number in range(6):
        warm = engines.Answer()
        await engines.draft(site.front("entry-1"), f"w{number}", PROMPT_TOKENS, MAX_TOKENS, warm)
        if not warm.is_whole:
            raise site2.NotRunError("a stream isn't whole before the stop")
    others = [
        asyncio.ensure_future(
            engines.draft(
                site.front(f"entry-{2 + number % 2}"),
                f"o{number}",
                OTHER_TOKENS,
                LONG_TOKENS,
                engines.Answer(),
            )
        )
        for number in range(OTHERS if has_trouble else 0)
    ]
    # Keeps the instance up during its grace: an idle one ends after two seconds.
    long = asyncio.ensure_future(
        engines.draft(site.front("entry-1"), "long", PROMPT_TOKENS, LONG_TOKENS, engines.Answer())
    )
    await asyncio.sleep(1)
    site.record.line("entry-1 is stopped (SIGTERM)")
    site.signal("entry-1", signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    site.record.line("consumer sends a1 to entry-1")
    answer = engines.Answer()
    request = asyncio.ensure_future(
        engines.draft(site.front("entry-1"), "a1", PROMPT_TOKENS, MAX_TOKENS, answer)
    )
    await asyncio.wait((request,), timeout=GRACE_S + 1)
    await asyncio.wait((long, *others), timeout=1)
    events = len(answer.events)
    site.record.line(f"consumer: {answer.status}, {events} events, whole={answer.is_whole}")
    is_passed_on = any(each[0] == "a1" for engine in farm.engines for each in engine.arrivals)
    if not has_trouble and not (answer.is_whole or answer.status == 503):
        raise site2.NotRunError("no complete answer without trouble")
    return is_passed_on and not answer.is_whole and answer.status in (None, 200)


if __name__ == "__main__":
    site2.run(case, pathlib.Path(__file__).resolve().parent)
