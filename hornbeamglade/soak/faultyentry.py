"""Runs an entry instance with the faults that files next to its settings describe.

``python -m hornbeamglade.soak.faultyentry entry --settings FILE`` runs an instance whose wall
clock is shifted (:mod:`hornbeamglade.soak.skewedentry`) and that is partitioned from the addresses
in ``FILE`` with the suffix ``.cut``, whose first line is a :class:`Partition
<hornbeamglade.localsite.tcpproxy.Partition>`. The links of one process cannot be cut from outside
without privileges.
"""

import asyncio
import collections.abc
import pathlib
import sys
import typing
import weakref

from hornbeamglade.http1 import sockets
from hornbeamglade.localsite import tcpproxy
from hornbeamglade.soak import skewedentry

ProtocolFactory = collections.abc.Callable[[], typing.Any]

SUFFIX = ".cut"
POLL_S = 0.05


def path_for(settings: pathlib.Path) -> pathlib.Path:
    """Return the path of the file that describes the partition of an instance."""
    return settings.with_suffix(SUFFIX)


class Partition:
    """The partition that a file describes, applied to the connections of an event loop.

    :param path: the file; there is no partition while it does not exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._open: weakref.WeakSet[_Link] = weakref.WeakSet()
        self._task: asyncio.Task[None] | None = None

    def how(self, address: str) -> tcpproxy.Partition | None:
        """Return how the connections to an address are cut, or None."""
        try:
            how, *addresses = self._path.read_text(encoding="ascii").split()
        except (OSError, ValueError):
            return None
        return tcpproxy.Partition(how) if address in addresses else None

    async def check(self, address: str) -> None:
        """Wait for ever if the connections to an address are held back.

        :raises ConnectionRefusedError: if they are cut otherwise.
        """
        how = self.how(address)
        if how is tcpproxy.Partition.HANG:
            await asyncio.Event().wait()
        if how is not None:
            raise ConnectionRefusedError

    def watched(self, make_protocol: ProtocolFactory, address: str) -> ProtocolFactory:
        """Return a factory of protocols whose connections are cut with their address."""

        def make() -> asyncio.BaseProtocol:
            protocol = make_protocol()
            original = protocol.connection_made

            def connection_made(transport: asyncio.BaseTransport) -> None:
                self._open.add(_Link(address, transport, protocol))
                if self._task is None:
                    self._task = asyncio.ensure_future(self._watch())
                original(transport)

            protocol.connection_made = connection_made
            return protocol

        return make

    async def _watch(self) -> None:
        while True:
            for link in tuple(self._open):
                link.apply(self.how(link.address))
            await asyncio.sleep(POLL_S)


class _Link:
    """One open connection; kept alive by its protocol."""

    def __init__(
        self, address: str, transport: asyncio.BaseTransport, protocol: asyncio.BaseProtocol
    ) -> None:
        self.address = address
        self._transport = transport
        self._protocol = protocol
        self._held: list[tuple[typing.Any, ...]] | None = None
        protocol.link = self

    def apply(self, how: tcpproxy.Partition | None) -> None:
        """Reset the connection, hold back what it receives, or deliver what was held."""
        if how is tcpproxy.Partition.RESET:
            self._transport.abort()
        elif how is tcpproxy.Partition.HANG and self._held is None:
            held = self._held = []
            for name in ("data_received", "eof_received", "connection_lost"):
                self._hold(name, held)
        elif how is None and self._held is not None:
            held, self._held = self._held, None
            for name in ("data_received", "eof_received", "connection_lost"):
                delattr(self._protocol, name)
            for name, *args in held:
                getattr(self._protocol, name)(*args)

    def _hold(self, name: str, held: list[tuple[typing.Any, ...]]) -> None:
        setattr(self._protocol, name, lambda *args: held.append((name, *args)))


def run() -> None:
    """Run the command line with the faults."""
    partition = Partition(path_for(pathlib.Path(sys.argv[sys.argv.index("--settings") + 1])))
    create = asyncio.BaseEventLoop.create_connection
    open_directly = sockets.open_connection

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        make_protocol: ProtocolFactory,
        *endpoint: typing.Any,
        **options: typing.Any,
    ) -> typing.Any:
        if endpoint:
            address = ":".join(map(str, endpoint))
            await partition.check(address)
            make_protocol = partition.watched(make_protocol, address)
        return await create(loop, make_protocol, *endpoint, **options)

    async def open_connection(
        make_protocol: ProtocolFactory, address: str, timeout_s: float
    ) -> typing.Any:
        async with asyncio.timeout(timeout_s):
            await partition.check(address)
        return await open_directly(partition.watched(make_protocol, address), address, timeout_s)

    asyncio.BaseEventLoop.create_connection = create_connection
    sockets.open_connection = open_connection
    skewedentry.run()


if __name__ == "__main__":
    run()
