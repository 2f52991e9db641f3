"""What replicas state about themselves in the heads of their responses.

Explanation
===========

A statement holds from the moment at which it is received, whichever response carries it, and
whatever the platform's list says: the list may be older, or the store unreachable.

- A replica that is leaving states so in all its responses. It never takes this back: a server
  that starts again is another replica.
- A replica that refuses a request may name a time during which it accepts no further requests
  from this instance. A later response does not shorten this time.
- An overloaded replica names a rate limit (:mod:`hornbeamglade.replicas.ratelimits`), which the
  next response changes or lifts.
- A replica that would crash if it had to refuse many requests states how many it tolerates
  (:mod:`hornbeamglade.replicas.refusals`), until a response states nothing.
"""

import dataclasses

from hornbeamglade.replicas import ratelimits, refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """The time during which a replica accepts no requests from this instance.

    :param seconds: its duration from the receipt of the response.
    :param problem: the code of the problem if the stated time is malformed, or None.
    """

    seconds: float
    problem: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Advisory:
    """The statements in the head of one response.

    :param is_leaving: whether the replica will stop and accepts no new requests.
    :param backoff: the time during which it accepts no requests from this instance, or None.
    :param limit: its rate limit, or None.
    :param tolerance: the refusals that it tolerates, or None.
    :param is_refusal: whether the response refuses a request that did not run.
    """

    is_leaving: bool = False
    backoff: Backoff | None = None
    limit: ratelimits.RateLimit | None = None
    tolerance: refusals.Tolerance | None = None
    is_refusal: bool = False
