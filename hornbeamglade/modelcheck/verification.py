"""Verdict on a specification: safe with all guards, unsafe without any one of them.

Explanation
===========

A model can be safe vacuously, because nothing happens in it. A verdict therefore also
requires that every good state is reachable, that no run gets stuck, and that every guard
is needed: without it, in at least one variant of the protocol, a bad state is reachable
or a run gets stuck.
"""

import dataclasses

from hornbeamglade.core import codederrors
from hornbeamglade.modelcheck import exploration, programtext, traces


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The program explored with every guard on, in one variant.

    :param variant: values of the variant constants.
    :param state_count: reachable states.
    :param bad_trace: shortest run into a bad state, or None when it is safe.
    :param unreached: ``good_`` labels that no run reaches.
    :param stuck_by_home: for each ``home_`` label, states that can't reach it.
    """

    variant: dict[str, bool]
    state_count: int
    bad_trace: tuple[str, ...] | None
    unreached: tuple[str, ...]
    stuck_by_home: dict[str, int]

    @property
    def holds(self) -> bool:
        """Whether the run is safe, not vacuous and never stuck."""
        return (
            self.bad_trace is None and not self.unreached and not any(self.stuck_by_home.values())
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GuardResult:
    """The program explored with one guard off.

    :param guard: the guard's name.
    :param variant: the variant in which it failed; the last one tried if none did.
    :param state_count: reachable states.
    :param label: the bad label reached, or the home label out of reach; None when
        the guard is superfluous.
    :param trace: actions of a shortest run into that state.
    """

    guard: str
    variant: dict[str, bool]
    state_count: int
    label: str | None
    trace: tuple[str, ...]

    @property
    def needed(self) -> bool:
        """Whether the guarantee is violated without the guard."""
        return self.label is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of checking a specification.

    :param name: the specification's name.
    :param runs: one for each variant, guards on.
    :param guard_results: one for each guard, that guard off.
    """

    name: str
    runs: tuple[Run, ...]
    guard_results: tuple[GuardResult, ...]

    @property
    def passed(self) -> bool:
        """Whether every run holds and every guard is needed."""
        return all(run.holds for run in self.runs) and all(
            result.needed for result in self.guard_results
        )


def verify(specification: programtext.Specification) -> Verdict:
    """Explore a specification with all guards, then without each one in turn.

    :param specification: with at least one ``bad_`` and one ``good_`` label.
    :raises CodedError: ``spec_labels_missing`` when it lacks these labels.
    """
    if not specification.labels("bad_") or not specification.labels("good_"):
        raise codederrors.CodedError(
            "spec_labels_missing", f"{specification.name} needs bad_ and good_ labels"
        )
    return Verdict(
        name=specification.name,
        runs=tuple(_run(specification, setting) for setting in specification.variant_settings),
        guard_results=tuple(_run_without(specification, guard) for guard in specification.guards),
    )


def _run(specification: programtext.Specification, variant: dict[str, bool]) -> Run:
    space = _explore(specification, variant, None)
    bad_trace = _bad_trace(specification, space)
    return Run(
        variant=variant,
        state_count=space.state_count,
        bad_trace=bad_trace.actions if bad_trace else None,
        unreached=tuple(
            label for label in specification.labels("good_") if not space.labelled((label,))
        ),
        stuck_by_home={
            label: len(space.cannot_reach(label)) for label in specification.labels("home_")
        },
    )


def _run_without(specification: programtext.Specification, guard: str) -> GuardResult:
    for variant in specification.variant_settings:
        space = _explore(specification, variant, guard)
        label, trace = _first_violation(specification, space)
        if trace is not None:
            return GuardResult(guard, variant, space.state_count, label, trace.actions)
    return GuardResult(guard, variant, space.state_count, None, ())


def _first_violation(
    specification: programtext.Specification, space: exploration.StateSpace
) -> tuple[str | None, traces.Trace | None]:
    """Return the reached bad label, or else the unreachable home label, with a shortest trace."""
    trace = _bad_trace(specification, space)
    if trace is not None:
        reached = (
            label
            for label in specification.labels("bad_")
            if trace.state in space.labelled((label,))
        )
        return next(reached), trace
    for label in specification.labels("home_"):
        trace = traces.shortest_trace(space, space.cannot_reach(label))
        if trace is not None:
            return label, trace
    return None, None


def _explore(
    specification: programtext.Specification, variant: dict[str, bool], guard_off: str | None
) -> exploration.StateSpace:
    guards = {guard: guard != guard_off for guard in specification.guards}
    text = specification.with_constants(variant | guards)
    return exploration.explore(text, specification.labels("bad_"))


def _bad_trace(
    specification: programtext.Specification, space: exploration.StateSpace
) -> traces.Trace | None:
    """Return a shortest bad run; Storm's value and the explored states must agree."""
    bad = specification.labels("bad_")
    reached = bool(space.labelled(bad))
    if reached != (space.bad_probability > 0):
        raise codederrors.InvariantError(
            "spec_checkers_disagree",
            f"{specification.name}: Pmax {space.bad_probability}, bad states reached: {reached}",
        )
    return traces.shortest_trace(space, space.labelled(bad)) if reached else None
