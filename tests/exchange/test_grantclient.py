import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantclient, grantrequests, messages, transport
from tests.exchange import lossynetwork

KIND = messages.GrantKind
OWNER = transport.Peer("b", transport.Endpoint("127.0.0.1", 1))


class ScriptedOwner(transport.Transport):
    """Answers each grant request with the next kind of its script, on another thread."""

    def __init__(self, *script):
        self.script = list(script)
        self.released = []
        self.client = grantclient.GrantClient(1, self, clocks.SystemClock())

    def send(self, peer, message):
        if isinstance(message, messages.Progress):
            self.released += [grant.grant_id for grant in message.released]
        elif self.script:
            kind = self.script.pop(0)
            response = messages.GrantResponse(message.grant_id, kind, incarnation=1)
            threading.Thread(
                target=self.client.on_response,
                args=(response, codec.Sender(peer.name, 1), peer.endpoint),
            ).start()


def test_a_grant_wakes_the_requesting_thread_and_is_released_once_when_closed():
    owner = ScriptedOwner(KIND.GRANTED)
    response = owner.client.request_grant(OWNER, lossynetwork.make_request())
    assert response.kind is KIND.GRANTED
    assert owner.released == []
    owner.client.close(response.grant_id)
    owner.client.close(response.grant_id)
    assert owner.released == [response.grant_id]


def test_a_queued_request_polls_until_it_is_granted():
    owner = ScriptedOwner(KIND.QUEUED, KIND.GRANTED)
    assert owner.client.request_grant(OWNER, lossynetwork.make_request()).kind is KIND.GRANTED


def test_request_to_an_unresponsive_owner_is_abandoned_and_released():
    owner = ScriptedOwner()
    assert owner.client.request_grant(
        OWNER, lossynetwork.make_request()
    ) == grantrequests.NoResponse("b")
    assert owner.released == [1]


def test_request_of_a_disconnected_caller_is_removed_from_the_queue():
    owner = ScriptedOwner(KIND.QUEUED)
    is_connected = iter([True, True, False])
    request = lossynetwork.make_request(deadline_ms=60_000)
    assert (
        owner.client.request_grant(OWNER, request, is_wanted=lambda: next(is_connected, False))
        is None
    )
    assert owner.released == [1]


def test_the_deadline_ends_a_queued_request():
    owner = ScriptedOwner(KIND.QUEUED)
    assert owner.client.request_grant(OWNER, lossynetwork.make_request(deadline_ms=100)) is None
    assert owner.released == [1]
