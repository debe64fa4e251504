"""The state of a pending request, of its attempts and of a health check."""

from __future__ import annotations

from typing import Protocol

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.calls import Call, Client
from honeywharf.net.clock import Clock, Timer


class CallOwner(Protocol):
    """The part of the driver that attempts and probes use."""

    clock: Clock

    def client_disconnected(self, request: http1.Request) -> None:
        """Finish the request of a client that has disconnected."""

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record the outcome of an attempt."""

    def probe_ended(self, probe: Probe, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record the outcome of a probe."""


class PendingRequest:
    """A request in the driver's table.

    It stays there until it is finished, its attempts have ended and the balancer has processed its events.
    """

    __slots__ = (
        "active_attempt_count", "attempts", "client", "deadline_at_ms", "finished", "head",
        "queued_event_count", "request", "timer",
    )

    def __init__(self, request: http1.Request, client: Client, deadline_at_ms: float) -> None:
        self.request, self.client, self.deadline_at_ms = request, client, deadline_at_ms
        self.head = request.head()
        self.attempts: list[Attempt | None] = []  # None for an attempt that was not started
        self.active_attempt_count = 0
        self.queued_event_count = 0  # events of the request that are not processed yet
        self.finished = False  # its response has been sent, or its client has disconnected
        self.timer: Timer | None = None

    def release_message(self) -> None:
        """Free the request's head and body: attempts may go on long after their request is finished."""
        self.head = self.request.body = b""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.head = attempt.body = b""


class Attempt(Call):
    """One attempt of a request."""

    __slots__ = (
        "__weakref__", "active", "latest_send_ms", "number", "owner", "pending_request", "started_ms",
        "timer",
    )

    def __init__(
        self, owner: CallOwner, pending_request: PendingRequest, endpoint: str, now_ms: float,
        deadline_at_ms: float, latest_send_ms: float,
    ) -> None:
        super().__init__(endpoint, pending_request.head, pending_request.request.body, deadline_at_ms)
        self.owner, self.pending_request, self.number, self.started_ms = (
            owner, pending_request, len(pending_request.attempts), now_ms)
        self.latest_send_ms = latest_send_ms
        self.active = True  # it has no outcome yet
        self.timer: Timer | None = None

    def may_be_sent(self) -> bool:
        """Return whether the client is still connected and the latest time to send has not passed.

        The client may have disconnected without the event loop having read the EOF from its socket yet: the
        loop is busy, or a pipelined request precedes the EOF, or this attempt results from the outcome of an
        earlier one that the loop processed before it read the client's socket. The latest time to send
        prevents a retry that waited for a slow connection from being sent after the window in which backends
        drop duplicates.
        """
        if self.owner.clock.now() > self.latest_send_ms:
            return False
        if not self.pending_request.finished and self.pending_request.client.disconnected():
            self.owner.client_disconnected(self.pending_request.request)
        return not self.pending_request.finished

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Report the outcome to the driver."""
        self.owner.attempt_ended(self, outcome, response)


class Probe(Call):
    """A health check of a backend."""

    __slots__ = ("active", "owner", "started_ms", "timer")

    def __init__(
        self, owner: CallOwner, endpoint: str, head: bytes, now_ms: float, deadline_at_ms: float,
    ) -> None:
        super().__init__(endpoint, head, b"", deadline_at_ms, is_probe=True)
        self.owner, self.started_ms, self.active = owner, now_ms, True
        self.timer: Timer | None = None

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Report the outcome to the driver."""
        self.owner.probe_ended(self, outcome, response)
