"""The state of a request in the table, of each of its attempts, and of a health check."""

from __future__ import annotations

from typing import Protocol

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.calls import Call, Client
from honeywharf.net.clock import Clock, Timer


class AttemptOwner(Protocol):
    """What attempts and probes need of the driver that they belong to."""

    clock: Clock

    def client_disconnected(self, request: http1.Request) -> None:
        """Take note that the client of the request has left."""

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record an attempt's one outcome."""

    def probe_ended(self, probe: Probe, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record the result of a probe."""


class PendingRequest:
    """A request in the driver's table.

    It stays there until it is over, its attempts have ended and the decision module has been told.
    """

    __slots__ = (
        "attempts", "caller", "deadline_at_ms", "head", "live_attempts", "over", "queued_events", "request",
        "timer",
    )

    def __init__(self, request: http1.Request, caller: Client, deadline_at_ms: float) -> None:
        self.request, self.caller, self.deadline_at_ms = request, caller, deadline_at_ms
        self.head = request.head()
        self.attempts: list[Attempt | None] = []  # None where it was never sent
        self.live_attempts = 0
        self.queued_events = 0  # events about it that are not processed yet
        self.over = False
        self.timer: Timer | None = None


class Attempt(Call):
    """One attempt of a request."""

    __slots__ = ("__weakref__", "live", "number", "owner", "pending", "send_by_ms", "started_ms", "timer")

    def __init__(
        self, owner: AttemptOwner, pending: PendingRequest, endpoint: str, now: float, deadline_at_ms: float,
        send_by_ms: float,
    ) -> None:
        super().__init__(endpoint, pending.head, pending.request.body, deadline_at_ms)
        self.owner, self.pending, self.number, self.started_ms = owner, pending, len(pending.attempts), now
        self.send_by_ms = send_by_ms
        self.live = True
        self.timer: Timer | None = None

    def may_be_sent(self) -> bool:
        """Whether its client is still connected and the time in which it may be sent has not run out.

        Guards against attempts that are sent after their client left: its close may wait unread in the system
        behind a busy loop, a pipelined request, or the outcome that this attempt follows on. Guards too
        against repeats that are sent after the window in which backends drop duplicates, because their
        connection came up late.
        """
        if self.owner.clock.now() > self.send_by_ms:
            return False
        if not self.pending.over and self.pending.caller.disconnected():
            self.owner.client_disconnected(self.pending.request)
        return not self.pending.over

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Pass the outcome to the owner."""
        self.owner.attempt_ended(self, outcome, response)


class Probe(Call):
    """A health check of a backend."""

    __slots__ = ("live", "owner", "started_ms", "timer")

    def __init__(
        self, owner: AttemptOwner, endpoint: str, head: bytes, now: float, deadline_at_ms: float,
    ) -> None:
        super().__init__(endpoint, head, b"", deadline_at_ms, is_probe=True)
        self.owner, self.started_ms, self.live = owner, now, True
        self.timer: Timer | None = None

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Pass the result to the owner."""
        self.owner.probe_ended(self, outcome, response)
