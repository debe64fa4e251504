"""A call to a backend, and the interfaces through which the driver uses sockets.

`Client`, `CallTransport` and `EndpointDiscovery` stand for the clients, the backends and service discovery,
so that the driver itself does no I/O.
"""

from __future__ import annotations

from typing import Protocol

from honeywharf import interface as api
from honeywharf.net import http1


class Client(Protocol):
    """The client of a request, which receives at most one final response."""

    def send_response(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the final response."""

    def disconnected(self) -> bool:
        """Return whether the client has closed the connection or its sending side.

        This asks the operating system, because the event loop may not have read the close yet.
        """


class Call:
    """A request to a backend and its response.

    The transport calls `complete` once, unless the call is aborted. `head` lacks the headers that depend on
    the time or on the connection; they are added when the request is written.
    """

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
        self.awaiting_connection = False  # it is queued for a connection
        self.written_ms: float | None = None  # None until it is written to the socket

    def may_be_sent(self) -> bool:
        """Return whether the call may still be sent; checked just before it is written to the socket."""
        return True

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Receive the outcome of the call."""
        raise NotImplementedError


class CallTransport(Protocol):
    """Sends calls to the backends, over a pool of connections."""

    def has_endpoint(self, endpoint: str) -> bool:
        """Return whether the endpoint is in the current endpoint list."""

    def start(self, call: Call) -> None:
        """Start the call; `complete` is called later, never from within this method."""

    def abort(self, call: Call) -> None:
        """Abort the call: its connection is closed, and `complete` is not called."""

    def has_unwritten_data(self, call: Call) -> bool:
        """Return whether part of the call is not written yet, so that the backend cannot have executed it."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class EndpointDiscovery(Protocol):
    """Service discovery, the source of endpoint lists."""

    def watch(self) -> None:
        """Start to watch the endpoint list for changes."""

    def fetch(self) -> None:
        """Request the whole endpoint list once."""
