"""Requests, their attempts, and the queues of ordered requests that share an ordering key.

A request decides where it may be sent again without taking effect twice. This follows from the idempotency,
the deduplication scope and the deduplication window of its class.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from honeywharf import interface as api

if TYPE_CHECKING:
    from honeywharf.policy.concurrency import ZoneLimiter
    from honeywharf.policy.server import Server


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server."""

    request: str  # the request's id
    server: Server
    zone: ZoneLimiter
    sent_ms: float  # when the balancer decided to send it
    written_ms: float  # when it was written to the socket; equals `sent_ms` until the attempt has ended
    ejections: int  # the number of times that the server had been ejected by `sent_ms`
    active: bool = True  # its outcome has not been reported yet
    may_have_run: bool = True  # False once the outcome proves that the server did not execute it
    counted_in_flight: bool = True  # it is included in `ZoneLimiter.in_flight`
    is_hung: bool = False

    def release(self) -> None:
        """Remove the attempt from its zone's count of calls in flight, unless that was done before."""
        if self.counted_in_flight:
            self.counted_in_flight = False
            self.zone.in_flight -= 1


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes that share an ordering key, in the order of their arrival.

    Only the first of them may be sent.
    """

    queued_requests: deque[Request] = field(default_factory=deque)
    # No request of the queue is sent before this time. After an outcome like a timeout, a server may still be
    # executing the attempt.
    cooldown_until_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    """A request with its attempts. It is kept until it is done and its last attempt has ended."""

    id: str
    request_class: api.RequestClass
    key: str  # the ordering key, which selects its KeyQueue; empty if its class is not ordered
    deadline_at_ms: float  # a point in time, unlike `RequestClass.deadline_ms`, which is a duration
    worth: float
    limit_share: float = 1.0  # the fraction of a zone's concurrency limit that is open to this request
    attempts: list[Attempt] = field(default_factory=list)
    is_done: bool = False  # it needs no further attempt, and no final response from the balancer

    def first_attempt_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that a server may have executed, if any."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def may_send_to(self, endpoint: api.Endpoint, now_ms: float) -> bool:
        """Return whether the request can be sent to the endpoint without the risk of taking effect twice."""
        first, request_class = self.first_attempt_that_may_have_run(), self.request_class
        if first is None or request_class.idempotency is api.Idempotency.REPEATABLE:
            return True
        if (
            request_class.idempotency is api.Idempotency.ONCE
            or now_ms >= first.written_ms + request_class.dedupe_window_ms
        ):
            return False
        first_endpoint = first.server.endpoint
        return (
            request_class.dedupe_scope is api.DedupeScope.ALL or first_endpoint.zone == endpoint.zone
        ) and (request_class.dedupe_scope is not api.DedupeScope.CELL or first_endpoint.cell == endpoint.cell)

    def retry_safe_until_ms(self) -> float:
        """Return until when a retry may be written to the socket without the risk of taking effect twice."""
        first = self.first_attempt_that_may_have_run()
        if first is None or self.request_class.idempotency is not api.Idempotency.KEYED:
            return math.inf
        return first.written_ms + self.request_class.dedupe_window_ms

    def may_refuse(self) -> bool:
        """Return whether the request may be refused. A refusal tells the client that it may retry safely."""
        request_class = self.request_class
        return (
            request_class.idempotency is api.Idempotency.REPEATABLE
            or self.first_attempt_that_may_have_run() is None
            or (
                request_class.idempotency is api.Idempotency.KEYED
                and request_class.dedupe_scope is api.DedupeScope.ALL
            )
        )
