"""Full exploration of a PRISM program by Storm.

Explanation
===========

Storm is a development dependency: it is imported on first use, and its absence
is a coded error, so that the daemons never need it. Exploration checks are on:
a variable that leaves its range is an error and never silently truncates the
state space.
"""

import importlib
import pathlib
import tempfile
import types
import typing
from collections import abc

from hornbeamglade.core import codederrors


class Transition(typing.NamedTuple):
    """One transition from a state; a named tuple, because there are millions of them.

    :param choice: number of the command's instance, see :meth:`StateSpace.action`.
    :param target: number of the state it leads to.
    """

    choice: int
    target: int


class StateSpace:
    """All reachable states of a program, numbered from 0.

    :param stormpy: the checker's module.
    :param model: the sparse model that Storm built.
    :param bad_probability: ``Pmax=? [F bad]`` of the initial state, as Storm gives it.
    """

    def __init__(self, stormpy: types.ModuleType, model, bad_probability: float) -> None:
        self._stormpy = stormpy
        self._model = model  # keeps the memory that the views below point into
        self._matrix = model.transition_matrix
        self._labels_of_choice = model.choice_labeling.get_labels_of_choice
        self.initial: int = model.initial_states[0]
        self.state_count: int = model.nr_states
        self.bad_probability = bad_probability
        self.states_by_label: dict[str, frozenset[int]] = {
            label: frozenset(model.labeling.get_states(label))
            for label in model.labeling.get_labels()
        }

    def transitions(self, state: int) -> list[Transition]:
        """Return the transitions from a state.

        :param state: the state's number.
        """
        matrix = self._matrix
        choices = range(matrix.get_row_group_start(state), matrix.get_row_group_end(state))
        return [
            Transition(choice, entry.column)
            for choice in choices
            for entry in matrix.get_row(choice)
        ]

    def cannot_reach(self, label: str) -> frozenset[int]:
        """Return the states from which no labelled state can be reached any more.

        :param label: the outcome that should stay possible.
        """
        goals = self._model.labeling.get_states(label)
        everywhere = self._stormpy.BitVector(self.state_count, True)
        never, _ = self._stormpy.compute_prob01max_states(self._model, everywhere, goals)
        return frozenset(never)

    def action(self, choice: int) -> str:
        """Return the action name of a transition's command; empty when it has none.

        :param choice: of a :class:`Transition`.
        """
        return "".join(self._labels_of_choice(choice))

    def labelled(self, labels: abc.Iterable[str]) -> frozenset[int]:
        """Return the states that carry any of the labels.

        :param labels: names; one that no state carries adds nothing.
        """
        return frozenset().union(*(self.states_by_label.get(label, ()) for label in labels))


def explore(program_text: str, bad_labels: tuple[str, ...]) -> StateSpace:
    """Explore a program's full state space and compute whether a bad state is reachable.

    :param program_text: a PRISM ``mdp`` whose constants are all set.
    :param bad_labels: labels whose union is the bad set.
    :raises CodedError: ``spec_checker_missing`` without stormpy, ``spec_invalid``
        when Storm rejects the program.
    """
    stormpy = _stormpy()
    try:
        program = _parse(stormpy, program_text)
        model = stormpy.build_sparse_model_with_options(program, _options(stormpy))
        probability = _bad_probability(stormpy, program, model, bad_labels)
    except RuntimeError as error:
        raise codederrors.CodedError("spec_invalid", str(error)) from error
    return StateSpace(stormpy, model, probability)


def _stormpy() -> types.ModuleType:
    try:
        return importlib.import_module("stormpy")
    except ImportError as error:
        raise codederrors.CodedError(
            "spec_checker_missing", "stormpy is not installed (extra: dev)"
        ) from error


def _parse(stormpy: types.ModuleType, program_text: str):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "program.prism"
        path.write_text(program_text, encoding="utf-8")
        return stormpy.parse_prism_program(str(path))


def _options(stormpy: types.ModuleType):
    options = stormpy.BuilderOptions()
    options.set_build_choice_labels(True)
    options.set_build_all_labels(True)
    options.set_exploration_checks(True)
    return options


def _bad_probability(stormpy: types.ModuleType, program, model, bad_labels) -> float:
    bad = " | ".join(f'"{label}"' for label in bad_labels)
    formula = stormpy.parse_properties(f"Pmax=? [F ({bad})]", program)[0]
    return stormpy.model_checking(model, formula).at(model.initial_states[0])
