"""Logging of state changes of nodes."""

from hornbeamglade.membership import view
from hornbeamglade.observability import logs


def log_member_change(change: view.StateChange) -> None:
    """Log a state change of another node or of this node in the membership view."""
    logs.state_changed(
        "member",
        "unknown" if change.before is None else change.before.name.lower(),
        change.member.state.name.lower(),
        node=change.member.identity.name,
        incarnation=change.member.incarnation,
    )
