"""Copies of KV caches that a routed stand-in makes, stores and frees."""

import asyncio
import collections.abc
import json

from hornbeamglade.standins import routedfaults, routedmachine, routedruns


class RoutedCopies:
    """The copies at one engine.

    :param machine: its machine, whose faults apply.
    :param run_by_id: its runs by request id.
    :ivar by_name: the copies that it stores.
    :ivar on_copy: called with the destination when a copy begins.
    """

    def __init__(
        self,
        machine: routedmachine.RoutedMachine,
        run_by_id: dict[str, routedruns.StandinRun],
    ) -> None:
        self._machine = machine
        self._run_by_id = run_by_id
        self.by_name: dict[str, routedruns.StandinCopy] = {}
        self._sent_to_by_name: dict[str, str] = {}
        self.on_copy: collections.abc.Callable[[str], None] = lambda _to: None

    async def move(self, order: dict, gap_s: float) -> tuple[int, object]:
        """Carry out an order to copy a run; return the status and body of the response.

        :param gap_s: seconds between events.
        """
        faults = self._machine.faults
        run = self._run_by_id.get(order["id"])
        if order["last"] and faults.stop_reply is routedfaults.StopReply.NEVER:
            run.is_stopped = True
            raise ConnectionAbortedError("the answer is lost")
        is_late = order["last"] and faults.stop_reply is routedfaults.StopReply.AFTER_END
        while is_late and run is not None and run.is_alive:
            await asyncio.sleep(gap_s)
        if run is None or not run.is_alive:
            return 404, {}
        if faults.no_room:
            return 503, {}
        if order["last"] and faults.ignores_stops:
            await asyncio.Event().wait()
        if order["last"]:
            run.is_stopped = True
        self.on_copy(order["to"])
        await asyncio.sleep(faults.copy_s)
        name = f"copy-{run.request_id}"
        body = {"name": name, "id": run.request_id, "made": run.made}
        reply = faults.stop_reply if order["last"] else routedfaults.StopReply.SOON
        is_kept = reply is routedfaults.StopReply.KEPT
        if is_kept or not await _post(order["to"], "/standin/copy", body):
            if order["last"]:
                self.by_name[name] = routedruns.StandinCopy(name, run.request_id, run.made)
                return 503, {"handle": name}
            return 503, {}
        self._sent_to_by_name[name] = order["to"]
        if reply is routedfaults.StopReply.LATE:
            await asyncio.sleep(routedfaults.LATE_REPLY_S)
        elif reply is routedfaults.StopReply.LOST:
            raise ConnectionAbortedError("the answer is lost")
        return 200, {"handle": name, "created": run.made}

    def take(self, copy: dict) -> tuple[int, object]:
        """Store a copy that another engine sends."""
        if self._machine.faults.no_room:
            return 503, {}
        name = copy["name"]
        self.by_name[name] = routedruns.StandinCopy(name, copy["id"], copy["made"])
        return 200, {}

    async def drop(self, name: str) -> tuple[int, object]:
        """Free a copy here and at the engine that it was sent to."""
        self.by_name.pop(name, None)
        sent_to = self._sent_to_by_name.pop(name, None)
        if sent_to is not None:
            await _post(sent_to, "/standin/drop", {"name": name})
        return 200, {}


async def _post(address: str, path: str, body: dict) -> bool:
    """Send a POST request to another stand-in; return whether it was accepted."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    data = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    line = await reader.readline()
    writer.close()
    return b" 200 " in line
