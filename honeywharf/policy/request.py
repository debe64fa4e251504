"""Requests, their attempts and the queues of ordered requests that share a key.

A request knows where a further attempt is safe: by its effect, its deduplication scope and its idempotency
window.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from honeywharf import interface as api

if TYPE_CHECKING:
    from honeywharf.policy.concurrency import Zone
    from honeywharf.policy.server import Server


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server. `ran` is False once it is proven never to have run."""

    request: str
    server: Server
    zone: Zone
    sent_ms: float
    written_ms: float  # when its bytes left, as far as is known
    ejections: int  # of the server when it was sent
    active: bool = True
    may_have_run: bool = True
    counted_in_flight: bool = True  # among the calls in flight of its zone
    is_hung: bool = False

    def release(self) -> None:
        """Take it off its zone's calls in flight, once: the figure stays the sum of the calls that count."""
        if self.counted_in_flight:
            self.counted_in_flight = False
            self.zone.in_flight -= 1


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes that share a key, in arrival order: only the first may be sent."""

    queued_requests: deque[Request] = field(default_factory=deque)
    cooldown_until_ms: float = 0.0  # an attempt that may still run ended so short a time ago


@dataclass(slots=True, eq=False)
class Request:
    """A request with its attempts: it is kept until it is answered and its last attempt has ended."""

    id: str
    request_class: api.RequestClass
    key: str  # of its queue; empty where no order is asked
    deadline_at_ms: float
    worth: float
    limit_share: float = 1.0  # part of a zone's limit that is open to it
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    def first_possibly_run_attempt(self) -> Attempt | None:
        """The first attempt that is not proven never to have run."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def may_send_to(self, endpoint: api.Endpoint, now_ms: float) -> bool:
        """Whether a further attempt there could not have an effect twice."""
        first, request_class = self.first_possibly_run_attempt(), self.request_class
        if first is None or request_class.effect is api.Effect.REPEATABLE:
            return True
        if request_class.effect is api.Effect.ONCE or now_ms >= first.written_ms + request_class.window_ms:
            return False
        held = first.server.endpoint
        return (request_class.scope is api.DedupeScope.ALL or held.zone == endpoint.zone) and (
            request_class.scope is not api.DedupeScope.CELL or held.cell == endpoint.cell)

    def retry_safe_until_ms(self) -> float:
        """Until when a further attempt may leave without the risk of an effect twice."""
        first = self.first_possibly_run_attempt()
        if first is None or self.request_class.effect is not api.Effect.KEYED:
            return math.inf
        return first.written_ms + self.request_class.window_ms

    def may_refuse(self) -> bool:
        """Whether a refusal, which tells the client that a repeat is harmless, would be true."""
        request_class = self.request_class
        return request_class.effect is api.Effect.REPEATABLE or self.first_possibly_run_attempt() is None or (
            request_class.effect is api.Effect.KEYED and request_class.scope is api.DedupeScope.ALL)
