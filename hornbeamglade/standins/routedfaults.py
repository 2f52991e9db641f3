"""What a routed stand-in is told to do wrong."""

import pydantic


class RoutedFaults(pydantic.BaseModel):
    """Faults of a backend server; absent ones are off.

    :param refuse: requests are refused as not run.
    :param fail: requests are run, and answered with the server's own failure.
    :param hang: requests are taken and never answered.
    :param delay_s: seconds before an answer.
    :param unproved: answers bear no proof that they are the server's.
    :param stray: an answer to another request comes first.
    :param extra: another answer follows each.
    :param unframed: answers have no length and end with the connection.
    :param torn: answers are broken off in the middle, in order.
    :param reset: answers are broken off in the middle, by a reset.
    :param early: an answer comes before the request's body is read.
    :param die_after_events: a stream is broken off after so many events.
    :param no_room: copies from other engines are refused.
    :param limit: requests a second that answers name as the most that the server takes.
    :param crash_on: a request whose body holds this text ends the server as it begins to run.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    refuse: bool = False
    fail: bool = False
    hang: bool = False
    delay_s: float = 0.0
    unproved: bool = False
    stray: bool = False
    extra: bool = False
    unframed: bool = False
    torn: bool = False
    reset: bool = False
    early: bool = False
    die_after_events: int | None = None
    no_room: bool = False
    limit: str = ""
    crash_on: str = ""
