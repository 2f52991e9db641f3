"""Whether a response whose connection has ended was received completely.

Explanation
===========

A response that states its end, by a length or a last chunk, is complete when that end has been
received. Without either, only the end of the connection shows it, and a server also closes
connections of responses that it has not completed: after an order to stop the run, when its notice
runs out, or at the end of the time that the request was given. A connection that was closed in
order is therefore the end of the response only if nothing that is known gave its server a cause to
close it, or if the server has shown since that it did not act on that cause.

An engine's report on a new connection tells how much of its notice is left, as of some hundred
milliseconds before. Any other server, and an engine that states no time or too little, shows that
its notice has not run out by keeping a new connection open for longer than it takes a server to
exit. That it accepts one proves nothing: connections may be closed before the port.

A server that is killed had no cause that is known before. Its system closes its connections in
order as well, but nothing listens at its address then.

What a server cannot show is not assumed: such a response counts as incomplete, although it may be
whole.
"""

import dataclasses
import enum

from hornbeamglade.engines import models
from hornbeamglade.replicas import models as replicamodels

END_UNPROVED = "end_unproved"
"""Code of a response whose connection was closed in order, though perhaps not at its end."""

REPORT_AGE_S = 0.5
"""Age of the figures in an engine's report."""

EXIT_S = 0.3
"""Longest time from a server's first closed connection to its last one, when it exits."""

MAX_LIST_AGE_S = 3.0
"""Age from which the list of replicas may lack a notice that has run out. While the store answers,
it is confirmed every second or two."""

TIME_MARGIN_S = 0.01
"""The time left is stated in whole milliseconds, and clocks differ in pace."""


class Cause(enum.StrEnum):
    """Why a server may have closed the connection of a response that is not complete.

    An evacuated server completes its runs, but its operator may stop it meanwhile.
    """

    STOP_ORDERED = "stop_ordered"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    LIST_STALE = "list_stale"
    KILLED = "killed"
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
    :param list_age_s: seconds since the list was last confirmed, or None if it never was.
    """

    is_usable: bool
    is_evacuated: bool = False
    is_replaced: bool = False
    list_age_s: float | None = 0.0


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
        Cause.LIST_STALE: state.list_age_s is None or state.list_age_s > MAX_LIST_AGE_S,
        Cause.REPLACED: state.is_replaced,
        Cause.TIME_OVER: remaining_s <= TIME_MARGIN_S,
    }
    return tuple(cause for cause, applies in applies_by_cause.items() if applies)


_EXCLUDED_BY_SERVING = frozenset((Cause.LEAVING, Cause.EVACUATED, Cause.LIST_STALE))


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
    >>> is_complete((Cause.LEAVING,), Inquiry(True, "stayed_open"))
    True
    >>> is_complete((Cause.STOP_ORDERED,), Inquiry(True, "stayed_open"))
    False
    """
    if is_stated or not known:
        return True
    return inquiry is not None and inquiry.is_serving and may_be_excluded(known)


def from_report(
    replica: replicamodels.Replica, report: models.EngineReport | models.ReportFailed
) -> Inquiry | None:
    """Return what an engine's report on a new connection shows, or None if that is nothing.

    Examples
    ========

    >>> engine = replicamodels.Replica("e1", "llm", "10.0.0.1:1", "a", 8)
    >>> from_report(engine, models.ReportFailed(is_refused=True))
    Inquiry(is_serving=False, evidence='not_listening')
    """
    if isinstance(report, models.ReportFailed):
        return Inquiry(False, "not_listening") if report.is_refused else None
    if replica.started_ms and report.started_ms != replica.started_ms:
        return Inquiry(False, "restarted")
    if report.leaves_in_s is None or report.leaves_in_s <= REPORT_AGE_S:
        return None
    return Inquiry(True, "reported")


def from_connection(stayed_open: bool | None) -> Inquiry:
    """Return what a new connection shows.

    :param stayed_open: whether it was still open after :data:`EXIT_S`; None if the server did not
        respond.
    """
    if stayed_open is None:
        return Inquiry(False, "no_response")
    return Inquiry(stayed_open, "stayed_open" if stayed_open else "closed")
