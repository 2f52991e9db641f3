"""The log line on a change of a node's state."""

from hornbeamglade.membership import view
from hornbeamglade.observability import logs


def log_member_change(change: view.StateChange) -> None:
    """Write the line on a change that a node sees in another one, or in itself."""
    logs.state_changed(
        "member",
        "unknown" if change.before is None else change.before.name.lower(),
        change.member.state.name.lower(),
        node=change.member.identity.name,
        incarnation=change.member.incarnation,
    )
