"""Helpers for state machines that act around each call of the table."""

from hornbeamglade.store import contract, memory

FAULTS_BY_EVENT = {
    "heal": memory.Faults(),
    "down": memory.Faults(down=True),
    "lose_answers": memory.Faults(lose_answers=True),
    "lose_writes": memory.Faults(lose_writes=True),
    "stall": memory.Faults(stall_writes=True),
}


class InterruptedTable(contract.Table):
    """Lets the state machine act before and after each call of one node."""

    def __init__(self, platform, interrupt):
        self._platform = platform
        self._interrupt = interrupt

    def _call(self, method, *args):
        self._interrupt()
        outcome = method(*args)
        self._interrupt()
        return outcome

    def read(self, key):
        return self._call(self._platform.read, key)

    def scan(self, prefix, limit=None):
        return self._call(self._platform.scan, prefix, limit)

    def transact(self, conditions, writes):
        return self._call(self._platform.transact, conditions, writes)
