"""Record of the attempts made for one request."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models, ratelimits


@dataclasses.dataclass(slots=True)
class AttemptLog:
    """The attempts of one request.

    :param tried: replicas the request was sent to, including unreachable ones.
    :param sent: number of attempts that a replica may have received.
    :param may_have_run: whether any attempt may have run.
    :param in_flight_replica: replica of the attempt in flight, or None.
    :param has_response: whether that replica has begun to respond.
    :param limit_per_s: rate limit that the replica of the newest attempt had reported, or None.
    :param address: address of the replica of the newest attempt.
    :param sent_addresses: addresses to which the request may have been sent.
    :param connection: how the newest attempt was sent: ``opening`` until it has a connection, then
        ``new``, ``kept`` or ``tunneled``.
    :param via: the instance that relays a tunneled connection, or None.
    :param idle_s: seconds for which a kept connection had been idle, or None.
    :param sent_at: monotonic time at which the newest attempt started, or None before the first.
    :param admitted_at: monotonic time at which the whole request was admitted.
    :param answer_at: monotonic time at which the answer to the caller began, or None.
    :param is_withheld: whether events were received that are withheld until the answer is whole.
    :param ended_code: code of the failure that ended the newest attempt.
    :param ended_at: monotonic time at which the newest attempt ended, or None while none has.
    """

    tried: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False
    in_flight_replica: str | None = None
    has_response: bool = False
    limit_per_s: float | None = None
    address: str = "-"
    sent_addresses: set[str] = dataclasses.field(default_factory=set)
    connection: str = "-"
    via: str | None = None
    idle_s: float | None = None
    sent_at: float | None = None
    admitted_at: float = 0.0
    answer_at: float | None = None
    is_withheld: bool = False
    ended_code: str = "-"
    ended_at: float | None = None

    def start(
        self, replica: models.Replica, limit: ratelimits.RateLimit | None, now: float
    ) -> None:
        """Record that an attempt starts, and the rate limit that its replica had reported."""
        self.sent_at = now
        self.address = replica.address
        self.in_flight_replica = replica.id
        self.limit_per_s = None if limit is None else limit.requests_per_s
        self.connection = "opening"
        self.via = self.idle_s = None

    def record_connection(self, via: str | None, idle_s: float | None) -> None:
        """Record the connection of the attempt in flight.

        :param via: the instance that relays it, or None.
        :param idle_s: seconds for which it had been idle, or None for a new one.
        """
        self.connection = "tunneled" if via else "new" if idle_s is None else "kept"
        self.via = via
        self.idle_s = None if idle_s is None else round(idle_s, 3)

    def record_response_started(self) -> None:
        """Record that the replica of the attempt in flight has begun to respond."""
        self.has_response = True

    def record_answer_started(self, now: float) -> None:
        """Record that the answer to the caller begins."""
        self.answer_at = now

    def record_answer_withheld(self) -> None:
        """Record that the answer has begun at a replica and is withheld until it is whole."""
        self.is_withheld = True

    @property
    def has_started(self) -> bool:
        """Whether a replica has begun the answer, which is then continued and not sent anew."""
        return self.is_withheld or self.answer_at is not None

    def record_end(
        self,
        replica_id: str,
        run: outcomes.RunStatus,
        was_sent: bool,
        now: float,
        code: str = "-",
    ) -> None:
        """Record the end of an attempt.

        :param now: monotonic time.
        :param code: code of the failure, for logs.
        """
        self.ended_code, self.ended_at = code, now
        self.in_flight_replica = None
        self.has_response = False
        self.tried.append(replica_id)
        self.sent += was_sent
        self.may_have_run = self.may_have_run or run is not outcomes.RunStatus.NOT_RUN

    def log_resend(
        self, request_id: str, replica: models.Replica, now: float, *, has_copy: bool
    ) -> None:
        """Log that a request is sent to a further replica, and what allows it.

        :param has_copy: whether its run continues there from a copy.
        """
        if self.ended_at is None:
            return
        may_run_again = "may_run_again" if self.may_have_run else "not_run"
        logs.decided(
            request_id,
            "resend",
            "copy" if has_copy else may_run_again,
            replica=replica.id,
            address=replica.address,
            code=self.ended_code,
            attempts=self.sent,
            seconds=round(now - self.ended_at, 4),
        )

    @property
    def run(self) -> outcomes.RunStatus:
        """Run status over all attempts."""
        if self.may_have_run or self.in_flight_replica is not None:
            return outcomes.RunStatus.UNKNOWN
        return outcomes.RunStatus.NOT_RUN
