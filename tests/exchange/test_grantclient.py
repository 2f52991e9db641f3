import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantclient, grantrequests, messages, transport
from tests.exchange import lossynetwork

KIND = messages.GrantKind
OWNER = transport.Peer("b", transport.Endpoint("127.0.0.1", 1))


class ScriptedOwner(transport.Transport):
    """Answers each ask with the next kind of its script, on another thread."""

    def __init__(self, *script):
        self.script = list(script)
        self.released = []
        self.client = grantclient.GrantClient(1, self, clocks.SystemClock())

    def send(self, peer, message):
        if isinstance(message, messages.Progress):
            self.released += [grant.grant_id for grant in message.released]
        elif self.script:
            kind = self.script.pop(0)
            answer = messages.GrantResponse(message.grant_id, kind, incarnation=1)
            threading.Thread(
                target=self.client.on_response,
                args=(answer, codec.Sender(peer.name, 1), peer.endpoint),
            ).start()


def test_a_grant_wakes_the_asking_thread_and_is_returned_once_closed():
    owner = ScriptedOwner(KIND.GRANTED)
    answer = owner.client.request_grant(OWNER, lossynetwork.make_ask())
    assert answer.kind is KIND.GRANTED
    assert owner.released == []
    owner.client.close(answer.grant_id)
    owner.client.close(answer.grant_id)
    assert owner.released == [answer.grant_id]


def test_a_queued_ask_polls_until_it_is_granted():
    owner = ScriptedOwner(KIND.QUEUED, KIND.GRANTED)
    assert owner.client.request_grant(OWNER, lossynetwork.make_ask()).kind is KIND.GRANTED


def test_a_silent_owner_ends_the_ask_and_is_told():
    owner = ScriptedOwner()
    assert owner.client.request_grant(OWNER, lossynetwork.make_ask()) == grantrequests.NoResponse(
        "b"
    )
    assert owner.released == [1]


def test_a_caller_that_leaves_the_queue_frees_its_place():
    owner = ScriptedOwner(KIND.QUEUED)
    gone = iter([True, True, False])
    ask = lossynetwork.make_ask(deadline_ms=60_000)
    assert owner.client.request_grant(OWNER, ask, wanted=lambda: next(gone, False)) is None
    assert owner.released == [1]


def test_the_deadline_ends_a_queued_ask():
    owner = ScriptedOwner(KIND.QUEUED)
    assert owner.client.request_grant(OWNER, lossynetwork.make_ask(deadline_ms=100)) is None
    assert owner.released == [1]
