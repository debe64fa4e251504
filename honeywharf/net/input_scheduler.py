"""Shares the time that the proxy spends on the input of its peers between their connections.

Parsing is the only work that a peer can cause without limit: it may send as fast as the proxy reads. So the
input of clients, that of backends and that of discovery are each parsed in turns of limited length. Between
two turns, the event loop runs its timers, and passes on attempts, responses and new connections.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from honeywharf.net.clock import Clock, Loop

#: The input of one kind of peers is parsed for at most about this long in one iteration of the event loop.
MAX_TURN_MS = 1.0
#: The same for discovery, whose lists are long and urgent: what they say counts as soon as they are written.
MAX_DISCOVERY_TURN_MS = 4.0
#: How much is read from a connection at once. The rest stays in the operating system, which makes the peer
#: wait once it holds enough.
READ_BUFFER_BYTES = 8 * 1024


class InputConsumer(Protocol):
    """A connection that has input to parse."""

    def process_input(self) -> None:
        """Parse a limited part of the input, and dispatch at most one request."""

    def in_long_message(self) -> bool:
        """Return whether much of the current message has been parsed already."""


class InputScheduler:
    """Decides which connection may parse its input next, and when.

    Connections take turns. Those in a long message wait for the others, so a short request is parsed soon,
    however many long ones are being received. At least one of the long ones makes progress in each turn.
    """

    def __init__(self, loop: Loop, clock: Clock, max_turn_ms: float = MAX_TURN_MS) -> None:
        self.loop, self.clock, self.max_turn_ms = loop, clock, max_turn_ms
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # all connections read into it in turn
        self.short: deque[InputConsumer] = deque()
        self.long: deque[InputConsumer] = deque()
        self.spent_ms = 0.0  # of the current turn
        self.next_turn_scheduled = False

    def may_process_now(self, consumer: InputConsumer) -> bool:
        """Return whether the current turn has time left, and no other connection comes before this one."""
        others_first = self.short or (self.long and consumer.in_long_message())
        return not others_first and self.spent_ms < self.max_turn_ms

    def process(self, consumer: InputConsumer) -> None:
        """Let a connection parse its input now."""
        started_ms = self.clock.now()
        consumer.process_input()
        self.spent_ms += self.clock.now() - started_ms
        self._schedule_next_turn()

    def enqueue(self, consumer: InputConsumer) -> None:
        """Let a connection parse its input in one of the next turns."""
        (self.long if consumer.in_long_message() else self.short).append(consumer)
        self._schedule_next_turn()

    def _schedule_next_turn(self) -> None:
        if not self.next_turn_scheduled:
            self.next_turn_scheduled = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.next_turn_scheduled, self.spent_ms = False, 0.0
        for _ in range(len(self.short)):  # one that joins the queue meanwhile waits for the next turn
            if self.spent_ms >= self.max_turn_ms:
                break
            self.process(self.short.popleft())
        if self.long:
            self.process(self.long.popleft())
        while self.long and self.spent_ms < self.max_turn_ms:
            self.process(self.long.popleft())
        if self.short or self.long:
            self._schedule_next_turn()
