"""A call to a backend, and the interfaces between the driver and its surroundings.

They keep the driver free of sockets: callers, backends and discovery are behind `Caller`, `Transport` and
`Registry`.
"""

from __future__ import annotations

from typing import Protocol

from honeywharf import interface as api
from honeywharf.net import http1


class Caller(Protocol):
    """The source of a request, which receives its one final answer."""

    def answer(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, kind: bytes = b"",
    ) -> None:
        """Write the final answer."""

    def disconnected(self) -> bool:
        """Whether it has closed or cancelled, according to the operating system at this moment."""


class Call:
    """One exchange with a backend. The transport calls `ended` once, unless the call is aborted."""

    __slots__ = ("body", "connection", "endpoint", "head", "probe", "until_ms", "waiting", "written_ms")

    def __init__(
        self, endpoint: str, head: bytes, body: bytes, until_ms: float, *, probe: bool = False,
    ) -> None:
        self.endpoint, self.head, self.body = endpoint, head, body
        self.until_ms, self.probe = until_ms, probe
        self.connection: object = None
        self.waiting = False  # until it gets a connection
        self.written_ms: float | None = None  # when its bytes were written; None before that

    def may_send(self) -> bool:
        """Whether it may still be sent: asked just before its bytes are written."""
        return True

    def ended(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Take the outcome of the call."""
        raise NotImplementedError


class Transport(Protocol):
    """Carries calls to the backends."""

    def has_endpoint(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""

    def start(self, call: Call) -> None:
        """Start the call; `ended` is called later, never from within this method."""

    def abort(self, call: Call) -> None:
        """Abort the call: its connection closes, and `ended` is not called."""

    def unsent(self, call: Call) -> bool:
        """Whether part of the call is not written yet: aborted now, it never runs."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class Registry(Protocol):
    """The source of endpoint lists: service discovery."""

    def watch(self) -> None:
        """Subscribe to changes from now on."""

    def fetch(self) -> None:
        """Request the whole list once."""
