"""Whether the end of a response is the end of what its server had to say.

Explanation
===========

A response that states its end, by a length or a last chunk, is complete when that end has been
received. Without either, only the end of the connection shows it, and a server also closes
connections of responses that it has not completed: after an order to stop the run, when its notice
runs out, or at the end of the time that the request was given. A connection that was closed in
order is therefore the end of the response only if nothing that is known gave its server a cause to
close it, or if the server has shown since that it did not act on that cause.

A server that exits closes its port with its connections. One that accepts a new connection after
the end of the response has not exited, so its notice has not run out. An engine's report also
tells how much of the notice is left, as of some hundred milliseconds before.
"""

import dataclasses
import enum

from hornbeamglade.engines import models
from hornbeamglade.replicas import models as replicamodels

END_UNPROVED = "end_unproved"
"""Code of a response whose connection was closed in order, though perhaps not at its end."""

REPORT_AGE_S = 0.5
"""Age of the figures in an engine's report."""

TIME_MARGIN_S = 0.01
"""The time left is stated in whole milliseconds, and clocks differ in pace."""


class Cause(enum.StrEnum):
    """Why a server may have closed the connection of a response that is not complete."""

    STOP_ORDERED = "stop_ordered"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REPLACED = "replaced"
    TIME_OVER = "time_over"


class StopOrder(enum.Enum):
    """What is known of the order to stop a run for its migration.

    ``REFUSED``: the run was not stopped, or had ended before.
    """

    NONE = "none"
    UNANSWERED = "unanswered"
    OBEYED = "obeyed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """What is known of a server when it closes a connection in order.

    :param is_usable: whether it is listed and has not announced its stop.
    :param is_evacuated: whether its failure domain is evacuated.
    :param is_replaced: whether its address or its name belongs to another replica.
    """

    is_usable: bool
    is_evacuated: bool = False
    is_replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Inquiry:
    """What a server showed after the end of a response.

    :param is_serving: whether it has shown that its notice has not run out.
    :param evidence: a code, for logs.
    """

    is_serving: bool
    evidence: str


def causes(
    state: ServerState, remaining_s: float, order: StopOrder = StopOrder.NONE
) -> tuple[Cause, ...]:
    """Return the causes that a server may have had to close a connection in order.

    :param remaining_s: seconds left of the request's time.
    :param order: the order to stop its run.

    Examples
    ========

    >>> causes(ServerState(is_usable=True), 5.0)
    ()
    >>> causes(ServerState(is_usable=False), 5.0, StopOrder.OBEYED)
    (<Cause.STOP_ORDERED: 'stop_ordered'>, <Cause.LEAVING: 'leaving'>)
    """
    applies_by_cause = {
        Cause.STOP_ORDERED: order in (StopOrder.UNANSWERED, StopOrder.OBEYED),
        Cause.LEAVING: not state.is_usable,
        Cause.EVACUATED: state.is_evacuated,
        Cause.REPLACED: state.is_replaced,
        Cause.TIME_OVER: remaining_s <= TIME_MARGIN_S,
    }
    return tuple(cause for cause, applies in applies_by_cause.items() if applies)


_EXCLUDED_BY_SERVING = frozenset((Cause.LEAVING, Cause.EVACUATED))


def may_be_excluded(known: tuple[Cause, ...]) -> bool:
    """Return whether an inquiry at the server can show that none of the causes applied."""
    return _EXCLUDED_BY_SERVING.issuperset(known)


def is_complete(
    known: tuple[Cause, ...], inquiry: Inquiry | None = None, *, is_stated: bool = False
) -> bool:
    """Return whether a response has been received to its end.

    :param known: the causes that its server may have had to close the connection.
    :param inquiry: what the server showed afterwards, or None if it was not asked.
    :param is_stated: whether the response states its end.

    Examples
    ========

    >>> is_complete((Cause.LEAVING,))
    False
    >>> is_complete((Cause.LEAVING,), Inquiry(True, "listening"))
    True
    >>> is_complete((Cause.STOP_ORDERED,), Inquiry(True, "listening"))
    False
    """
    if is_stated or not known:
        return True
    return inquiry is not None and inquiry.is_serving and may_be_excluded(known)


def from_report(
    replica: replicamodels.Replica, report: models.EngineReport | models.ReportFailed
) -> Inquiry:
    """Return what an engine's report on a new connection shows.

    Examples
    ========

    >>> engine = replicamodels.Replica("e1", "llm", "10.0.0.1:1", "a", 8)
    >>> from_report(engine, models.ReportFailed(is_refused=True))
    Inquiry(is_serving=False, evidence='not_listening')
    """
    if isinstance(report, models.ReportFailed):
        return Inquiry(False, "not_listening" if report.is_refused else "no_report")
    if replica.started_ms and report.started_ms != replica.started_ms:
        return Inquiry(False, "restarted")
    if report.leaves_in_s is not None and report.leaves_in_s <= REPORT_AGE_S:
        return Inquiry(False, "notice_over")
    return Inquiry(True, "reported")


def from_listening(is_listening: bool | None) -> Inquiry:
    """Return what an attempt to connect shows.

    :param is_listening: whether the server accepted the connection; None if it did not respond.
    """
    if is_listening is None:
        return Inquiry(False, "no_response")
    return Inquiry(is_listening, "listening" if is_listening else "not_listening")
