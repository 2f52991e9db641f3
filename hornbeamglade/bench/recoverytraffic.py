"""A steady open-loop stream of requests from callers with their own address lists."""

import collections.abc
import concurrent.futures
import random
import threading
import time

from hornbeamglade.bench import recoverycallers

_WORKERS = 400
_STOP_TIMEOUT_S = 2 * recoverycallers.READ_TIMEOUT_S


class Traffic:
    """Sends requests at random times, whether or not earlier ones have ended.

    :param callers: each request is sent by one of them.
    :param name: prefix of the names of requests.
    :param tokens: tokens of each generation.
    :param texts_per_s: generations per second.
    :param holds_per_s: holds per second.
    :param rng: source of send times and callers.
    """

    def __init__(
        self,
        callers: collections.abc.Sequence[recoverycallers.Caller],
        name: str,
        tokens: int,
        texts_per_s: float,
        holds_per_s: float,
        rng: random.Random,
    ) -> None:
        self._callers = callers
        self._name = name
        self._tokens = tokens
        self._rate = texts_per_s + holds_per_s
        self._hold_share = holds_per_s / self._rate
        self._rng = rng
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._open: dict[str, recoverycallers.Call] = {}
        self._records: list[recoverycallers.Record] = []
        self._workers = concurrent.futures.ThreadPoolExecutor(_WORKERS, "callers")
        self._threads = [threading.Thread(target=self._send_loop, daemon=True)]
        self._threads += [
            threading.Thread(target=self._refresh_loop, args=(caller,), daemon=True)
            for caller in callers
        ]

    def start(self) -> None:
        """Start refreshing addresses and sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending, and wait until all sent requests have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(_STOP_TIMEOUT_S)
        self._workers.shutdown()

    def records(self) -> tuple[recoverycallers.Record, ...]:
        """Return the requests that have ended so far."""
        with self._lock:
            return tuple(self._records)

    def oldest_open_due_at(self) -> float | None:
        """Return the due time of the oldest open request, or None."""
        with self._lock:
            return min((call.due_at for call in self._open.values()), default=None)

    def _send_loop(self) -> None:
        due_at = time.monotonic()
        number = 0
        while True:
            due_at += self._rng.expovariate(self._rate)
            if self._stopping.wait(max(0.0, due_at - time.monotonic())):
                return
            number += 1
            tokens = 0 if self._rng.random() < self._hold_share else self._tokens
            call = recoverycallers.Call(f"{self._name}-{number}", tokens, due_at)
            with self._lock:
                self._open[call.name] = call
            self._workers.submit(self._send_call, self._rng.choice(self._callers), call)

    def _send_call(self, caller: recoverycallers.Caller, call: recoverycallers.Call) -> None:
        record = caller.send(call)
        with self._lock:
            del self._open[call.name]
            self._records.append(record)

    def _refresh_loop(self, caller: recoverycallers.Caller) -> None:
        while not self._stopping.wait(caller.address_book.refresh()):
            pass
