"""Section of the capacity page on what entry instances tell each other of streams and prompts.

The figures follow from the rates at the target size and from the length of the frames.
"""

from hornbeamglade.capacity import targetsize
from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages
from hornbeamglade.origins import origintable, streamorigins
from hornbeamglade.quarantine import partevidence, partquarantine, requestquarantine

NAME = "instance-a-101"
BOUND_BYTES_PER_S = 3000.0
TIMEOUT_S = 45.0
PARTS_PER_CRASH = 8
KILOBYTE = 1000.0
HASH = 2**63


def origin_bytes_per_s(size: targetsize.SiteSize) -> float:
    """Return the bytes a second that an instance sends to its keepers while versions differ."""
    batch = size.requests_per_node * streamorigins.FLUSH_INTERVAL_S
    records = tuple(
        messages.OriginRecord(HASH + number, HASH, 90) for number in range(round(batch))
    )
    frame = _frame_bytes(messages.OriginRecords(records))
    return streamorigins.KEEPER_COUNT * frame / streamorigins.FLUSH_INTERVAL_S


def origin_records(size: targetsize.SiteSize) -> float:
    """Return how many origins an instance keeps while versions differ."""
    rate = size.requests_per_node * (1 + streamorigins.KEEPER_COUNT)
    return rate * streamorigins.retention_s(TIMEOUT_S)


def lookup_bytes(size: targetsize.SiteSize) -> float:
    """Return the bytes that are sent when an instance dies and its streams are taken up."""
    others = size.nodes - 2
    streams = round(size.streams_per_node)
    per_instance = max(1, round(streams / others))
    streams_asked_for = tuple(HASH + n for n in range(per_instance))
    query = _frame_bytes(messages.OriginQuery(streams_asked_for, HASH, 90, HASH))
    statement = _frame_bytes(messages.VersionStatement(HASH, HASH, HASH, HASH))
    response = _frame_bytes(messages.OriginRecords((messages.OriginRecord(HASH, HASH, 90),)))
    askers = min(others, streams)
    return askers * (others * (query + statement) + streamorigins.KEEPER_COUNT * response)


def crash_bytes(size: targetsize.SiteSize) -> float:
    """Return the bytes that are sent when a replica crashes with suspected parts."""
    inquiry = _frame_bytes(messages.PartInquiry(tuple(HASH + n for n in range(PARTS_PER_CRASH))))
    return requestquarantine.HOME_COUNT * size.nodes * inquiry


def markdown(size: targetsize.SiteSize) -> str:
    """Return the section as Markdown.

    Examples
    ========

    >>> "while several versions of a service are listed" in markdown(targetsize.TARGET)
    True
    """
    origins = origin_bytes_per_s(size)
    verdict = "carried" if origins < BOUND_BYTES_PER_S else "**not carried**"
    return (
        "## What entry instances tell each other of streams and prompts\n\n"
        f"At {size.nodes} instances, from the rates and the length of frames; not from a day.\n\n"
        f"- Origins of streams, {verdict} by themselves within 3 KB a second, only "
        "while several versions of a service are listed and as long after as origins are kept: "
        f"{origins / KILOBYTE:.2g} KB a second sent by an instance, and on average as many "
        f"received; {origin_records(size):,.0f} origins kept at each (at most "
        f"{origintable.MAX_ENTRIES:,}).\n"
        f"- Look-ups after the loss of an instance whose {size.streams_per_node:.0f} streams are "
        f"taken up at others: {lookup_bytes(size) / KILOBYTE / size.nodes:.2g} KB at each "
        f"instance, once. {size.failures_per_day:.0f} instances fail on an ordinary day.\n"
        f"- A crash with {PARTS_PER_CRASH} suspected parts: "
        f"{crash_bytes(size) / KILOBYTE / size.nodes:.2g} KB at each instance, and evidence of "
        f"the last {partevidence.MAX_CRASHES} crashes at {requestquarantine.HOME_COUNT} home "
        f"instances of a service. Each instance remembers {partquarantine.MAX_SUCCESSES:,} parts "
        "that went well.\n"
    )


def _frame_bytes(message: messages.Message) -> int:
    keys = codec.KeyRing(1, {1: b"\0" * codec.MIN_SECRET_BYTES})
    sender = codec.Codec(NAME, 2**40, keys, clocks.ManualClock(1.7e9))
    return len(sender.encode(NAME, message))
