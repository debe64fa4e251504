"""A connection to service discovery, on which its client sends polls and receives the responses."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from honeywharf.net import response_reader

MAX_LIST_BYTES = 16 * 1024 * 1024


class ConnectionOwner(Protocol):
    """The part of the discovery client that its connection needs."""

    connection: DiscoveryConnection | None  # the connection in use

    def data_received(self, connection: DiscoveryConnection, data: bytes) -> None:
        """Process the data received on the connection in use."""

    def eof_received(self, connection: DiscoveryConnection) -> None:
        """Process the end of the input on the connection in use."""

    def connection_lost(self) -> None:
        """Handle the loss of the connection in use."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery; it notifies its owner only while the owner uses it.

    Otherwise late data on an abandoned connection, or its loss, would affect the one that replaced it.
    """

    __slots__ = ("owner", "reader", "transport")

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.reader = response_reader.ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, on which the owner writes its polls."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass the data to the owner if it still uses this connection."""
        if self.owner.connection is self:
            self.owner.data_received(self, data)

    def eof_received(self) -> bool:
        """Report the end of the input, before the connection closes, if the owner still uses it."""
        if self.owner.connection is self:
            self.owner.eof_received(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the owner if it still uses this connection."""
        if self.owner.connection is self:
            self.owner.connection_lost()

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
