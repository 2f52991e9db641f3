"""Finds out whether an answer of a plain service that ended with its connection is complete."""

import socket

from hornbeamglade.node import replicacatalog
from hornbeamglade.observability import logs
from hornbeamglade.routed import runends

CONNECT_TIMEOUT_S = 1.0


def is_complete(
    request_id: str,
    asked: replicacatalog.KnownReplica,
    catalog: replicacatalog.ReplicaCatalog,
    remaining_s: float,
) -> bool:
    """Return whether an answer is complete whose connection the server closed in order.

    Explanation
    ===========

    Applies :mod:`hornbeamglade.routed.runends`. A server that gave no cause for doubt is not
    asked; one that leaves has to keep a new connection open.

    :param asked: the server, as known when the request was sent to it.
    :param remaining_s: seconds left of the request's time.
    """
    known = catalog.known_by_name.get(asked.name)
    state = runends.ServerState(
        is_usable=known is not None and catalog.takes_new_work(asked.name),
        is_replaced=known is not None and known.replica.address != asked.replica.address,
    )
    causes = runends.causes(state, remaining_s)
    if not causes:
        return True
    inquiry = None
    if runends.may_be_excluded(causes):
        inquiry = runends.from_connection(_stays_open(asked.replica.address))
    complete = runends.is_complete(causes, inquiry)
    logs.decided(
        request_id,
        "end",
        "complete" if complete else "unproved",
        replica=asked.name,
        reason="+".join(causes),
        evidence="-" if inquiry is None else inquiry.evidence,
    )
    return complete


def _stays_open(address: str) -> bool | None:
    """Return whether a new connection stays open; None if the server does not respond."""
    host, _, port = address.rpartition(":")
    try:
        connection = socket.create_connection((host.strip("[]"), int(port)), CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    with connection:
        connection.settimeout(runends.EXIT_S)
        try:
            return bool(connection.recv(1))
        except TimeoutError:
            return True
        except OSError:
            return False
