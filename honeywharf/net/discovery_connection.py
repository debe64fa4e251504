"""A connection to service discovery, on which its client sends polls and receives the responses."""

from __future__ import annotations

from typing import Protocol

from honeywharf.net.endpoint_directory import EndpointDirectory
from honeywharf.net.input_scheduler import InputScheduler
from honeywharf.net.list_response_reader import ListResponseReader
from honeywharf.net.paced_protocol import PacedProtocol


class ConnectionOwner(Protocol):
    """The part of the discovery client that its connection needs."""

    connection: DiscoveryConnection | None  # the connection in use
    directory: EndpointDirectory
    input_scheduler: InputScheduler

    def data_received(self, connection: DiscoveryConnection, data: bytes) -> None:
        """Process the data received on the connection in use."""

    def eof_received(self, connection: DiscoveryConnection) -> None:
        """Process the end of the input on the connection in use."""

    def connection_lost(self) -> None:
        """Handle the loss of the connection in use."""


class DiscoveryConnection(PacedProtocol):
    """One connection to discovery; it notifies its owner only while the owner uses it.

    Otherwise late data on an abandoned connection, or its loss, would affect the one that replaced it.
    """

    __slots__ = ("owner", "reader")

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner.input_scheduler)
        self.owner = owner
        self.reader = ListResponseReader(owner.directory.new_list_parser)

    def in_long_message(self) -> bool:
        """Return False: there is only one connection to discovery."""
        return False

    def parse(self, data: bytes) -> None:
        """Pass the data to the owner if it still uses this connection."""
        if self.owner.connection is self:
            self.owner.data_received(self, data)

    def eof_received(self) -> bool:
        """Report the end of the input, before the connection closes, if the owner still uses it."""
        self.parse_unparsed()
        if self.owner.connection is self:
            self.owner.eof_received(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the owner if it still uses this connection."""
        self.parse_unparsed()
        if self.owner.connection is self:
            self.owner.connection_lost()
        self.reader.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
