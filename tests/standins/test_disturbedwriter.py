"""Responses of a stand-in that are disturbed at one of their bytes."""

import pytest

from hornbeamglade.standins import disturbances, routed, routedfaults
from tests.http1 import raw

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n"


async def received(**faults):
    """Return all bytes that a stand-in sends in response to one request."""
    server = routed.RoutedStandin("s0")
    await server.start()
    server.faults = routedfaults.RoutedFaults(**faults)
    client = await raw.RawClient.connect(server.address)
    await client.send(REQUEST)
    data = b""
    while not data.endswith(b"s0:r1") and (more := await client.reader.read(65_536)):
        data += more
    client.close()
    await server.stop()
    return data


@pytest.mark.parametrize("at", [0, 1, 40])
async def test_response_breaks_off_at_the_given_byte(at):
    assert await received(broken_at=at) == (await received())[:at]


@pytest.mark.parametrize("stray", list(disturbances.Stray))
async def test_stray_response_is_sent_within_the_response(stray):
    sound, inserted = await received(), disturbances.stray_bytes(stray, "r1")
    assert (
        await received(broken_at=40, followed_by=stray.value) == sound[:40] + inserted + sound[40:]
    )
