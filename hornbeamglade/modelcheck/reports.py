"""Verdicts as human-readable text and as JSON for scripts."""

import dataclasses
import json
from collections import abc

from hornbeamglade.modelcheck import verification


def as_json(verdicts: abc.Sequence[verification.Verdict]) -> str:
    """Return the verdicts as one JSON document.

    :param verdicts: in the order of the output.
    """
    documents = [dataclasses.asdict(verdict) | {"passed": verdict.passed} for verdict in verdicts]
    return json.dumps(documents, indent=2)


def as_text(verdict: verification.Verdict) -> str:
    """Return a verdict as lines.

    :param verdict: of one specification.
    """
    lines = [f"{verdict.name}: {'passed' if verdict.passed else 'FAILED'}"]
    lines += [_run_line(run) for run in verdict.runs]
    lines += [_guard_line(result) for result in verdict.guard_results]
    return "\n".join(lines)


def _run_line(run: verification.Run) -> str:
    line = f"  guards on{_variant(run.variant)}: {run.state_count} states, "
    if run.holds:
        return line + "holds"
    faults = [] if run.bad_trace is None else ["BAD: " + _trace(run.bad_trace)]
    faults += [f"NEVER REACHED: {label}" for label in run.unreached]
    faults += [f"STUCK: {n} states can't reach {k}" for k, n in run.stuck_by_home.items() if n]
    return line + "; ".join(faults)


def _guard_line(result: verification.GuardResult) -> str:
    line = f"  {result.guard} off{_variant(result.variant)}: {result.state_count} states, "
    if not result.needed:
        return line + "STILL HOLDS: the guard is superfluous"
    fault = "reached" if result.label.startswith("bad_") else "out of reach"
    return line + f"{result.label} {fault}: {_trace(result.trace)}"


def _trace(actions: tuple[str, ...]) -> str:
    return ", ".join(actions)


def _variant(variant: dict[str, bool]) -> str:
    if not variant:
        return ""
    settings = ", ".join(f"{name}={str(value).lower()}" for name, value in variant.items())
    return f" ({settings})"
