"""The base of the connections to backends and discovery: their input is parsed in turns of limited length."""

from __future__ import annotations

import asyncio
from typing import cast

from honeywharf.net.input_scheduler import InputScheduler


class PacedProtocol(asyncio.BufferedProtocol):
    """A connection that parses what it reads when it is its turn.

    Until then it holds what was read at once, and reads no more, so the rest stays in the operating system.
    """

    __slots__ = ("scheduler", "transport", "unparsed")

    def __init__(self, scheduler: InputScheduler) -> None:
        self.scheduler = scheduler
        self.unparsed = b""  # what was read and waits for its turn
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.scheduler.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the input that was read, or let it wait for its turn."""
        self.unparsed += self.scheduler.read_buffer[:nbytes]
        if self.scheduler.may_process_now(self):
            self.scheduler.process(self)
            return
        if self.transport is not None:
            self.transport.pause_reading()
        self.scheduler.enqueue(self)

    def process_input(self) -> None:
        """Parse the input that has waited, and read on."""
        self.parse_unparsed()
        transport = self.transport
        if transport is not None and not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()

    def parse_unparsed(self) -> None:
        """Parse the input that was read, also out of turn: nothing may be missing at the end of the input."""
        data, self.unparsed = self.unparsed, b""
        if data:
            self.parse(data)

    def parse(self, data: bytes) -> None:
        """Parse input."""
        raise NotImplementedError

    def in_long_message(self) -> bool:
        """Return whether much of the current message has been parsed already."""
        raise NotImplementedError
