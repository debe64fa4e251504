"""One connection to service discovery, for the polls of the watch that holds it."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from honeywharf.net import http1

MAX_LIST_BYTES = 16 * 1024 * 1024


class ConnectionOwner(Protocol):
    """What a connection needs of the watch that it belongs to."""

    connection: DiscoveryConnection | None  # the one in use

    def data_received(self, connection: DiscoveryConnection, data: bytes) -> None:
        """Take what has come on the connection in use."""

    def connection_lost(self) -> None:
        """Take note that the connection in use is lost."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery. What is received on it counts only while the watch holds it.

    Guards against bytes, or the loss, of an abandoned connection affecting the one that replaced it.
    """

    __slots__ = ("reader", "transport", "watch")

    def __init__(self, watch: ConnectionOwner) -> None:
        self.watch = watch
        self.reader = http1.ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass the data to the watch, if it still holds this connection."""
        if self.watch.connection is self:
            self.watch.data_received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the watch, if it still holds this connection."""
        if self.watch.connection is self:
            self.watch.connection_lost()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
