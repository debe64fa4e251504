"""A call to a backend, and the interfaces between the driver and its surroundings.

They keep the driver free of sockets: callers, backends and discovery are behind `Client`, `ConnectionPool`
and `DiscoveryClient`.
"""

from __future__ import annotations

from typing import Protocol

from honeywharf import interface as api
from honeywharf.net import http1


class Client(Protocol):
    """The source of a request, which receives its one final answer."""

    def answer(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the final answer."""

    def disconnected(self) -> bool:
        """Whether it has closed or cancelled, according to the operating system at this moment."""


class Call:
    """One exchange with a backend. The transport calls `complete` once, unless the call is aborted."""

    __slots__ = (
        "awaiting_connection", "body", "connection", "deadline_at_ms", "endpoint", "head", "is_probe",
        "written_ms",
    )

    def __init__(
        self, endpoint: str, head: bytes, body: bytes, deadline_at_ms: float, *, is_probe: bool = False,
    ) -> None:
        self.endpoint, self.head, self.body = endpoint, head, body
        self.deadline_at_ms, self.is_probe = deadline_at_ms, is_probe
        self.connection: object = None
        self.awaiting_connection = False  # until it gets a connection
        self.written_ms: float | None = None  # when its bytes were written; None before that

    def may_be_sent(self) -> bool:
        """Whether it may still be sent: asked just before its bytes are written."""
        return True

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Take the outcome of the call."""
        raise NotImplementedError


class ConnectionPool(Protocol):
    """Carries calls to the backends."""

    def has_endpoint(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""

    def start(self, call: Call) -> None:
        """Start the call; `complete` is called later, never from within this method."""

    def abort(self, call: Call) -> None:
        """Abort the call: its connection closes, and `complete` is not called."""

    def has_unwritten_data(self, call: Call) -> bool:
        """Whether part of the call is not written yet: aborted now, it never runs."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class DiscoveryClient(Protocol):
    """The source of endpoint lists: service discovery."""

    def watch(self) -> None:
        """Subscribe to changes from now on."""

    def fetch(self) -> None:
        """Request the whole list once."""
