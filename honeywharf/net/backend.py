"""The state of a backend, and a connection to it, which carries one call at a time."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from honeywharf import interface as api
from honeywharf.net import http1, response_reader
from honeywharf.net.calls import Call
from honeywharf.net.clock import Clock
from honeywharf.net.close_reason import BackendCloseReason
from honeywharf.net.config import Address
from honeywharf.net.input_scheduler import InputScheduler
from honeywharf.net.memory_budget import MemoryBudget
from honeywharf.net.paced_protocol import PacedProtocol

# A connection stays idle for at most this share of the shortest idle time after which its backend was
# observed to close a connection.
OBSERVED_IDLE_FACTOR = 0.8
# A backend that closes a connection sooner than this closes it because the response is complete, and not
# because the connection is idle.
MIN_OBSERVED_IDLE_MS = 200.0
# These limit the time between two reads of a response, and from its first read to its end; a long response
# arrives in many reads. Otherwise a response head or body that never ends would hold the attempt until the
# deadline of the request.
RESPONSE_READ_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 2.0
# A response in more parts than this is parsed when no other one waits.
COSTLY_PART_COUNT = 512

Outcome = api.Outcome
# The outcome of a response that is malformed, incomplete or too large. The backend is up and has executed the
# request. RESET would be wrong, because it means that the connection broke and that the backend may still be
# executing the request.
UNREADABLE_RESPONSE_OUTCOME = Outcome.ERROR


def outcome_of_response(response: http1.Response) -> api.Outcome:
    """Return the outcome of an attempt that received a complete response."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.unprocessed:
        return Outcome.REJECTED
    return Outcome.ERROR


class ConnectionOwner(Protocol):
    """The part of the connection pool that a connection uses."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    response_memory: MemoryBudget  # of all responses that are incomplete
    input_scheduler: InputScheduler
    counts: Counter[str]  # event counters for the `stats` line of the log
    close_counts: Counter[str]  # for the `connections` line: closes by their reason

    def release(self, connection: Connection) -> None:
        """Return the connection to the pool for the next call."""

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""

    def free_response_memory(self) -> None:
        """Drop incomplete responses until they keep their budget."""

    def fail_unsent(self, call: Call, outcome: api.Outcome) -> None:
        """End a call of which no byte has been written."""


class ListedBackend(Protocol):
    """What the endpoint list says of a backend."""

    @property
    def address(self) -> Address:
        """Where it listens."""

    @property
    def started_ms(self) -> float | None:
        """When its process started; another time means another process."""

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to it."""


class BackendAddress(NamedTuple):
    """What the endpoint list says of a backend, by itself."""

    address: Address
    started_ms: float | None
    accepts_calls: bool


@dataclass(slots=True, eq=False)
class Backend:
    """A backend that has been called, with its idle connections and the calls that wait for one."""

    address: Address
    accepts_calls: bool = True  # if not, its connections are closed after use
    # A little less than the idle time after which the backend was observed to close connections.
    max_idle_ms: float = float("inf")
    # The most recently used connection is the last one.
    idle_connections: deque[Connection] = field(default_factory=deque)
    # The calls that wait for a connection, the oldest first, with the timers of their connect timeouts.
    waiting_calls: dict[Call, asyncio.TimerHandle] = field(default_factory=dict)
    # Runs while calls wait until an idle connection may be reused.
    reuse_timer: asyncio.TimerHandle | None = None
    pending_connections: set[PendingConnection] = field(default_factory=set)
    # The number of slow connects since the last one that was established in time.
    consecutive_slow_connects: int = 0


@dataclass(slots=True, eq=False)
class PendingConnection:
    """A connection that is not established yet."""

    started_ms: float
    slow: bool = False
    slow_timer: asyncio.TimerHandle | None = None  # sets `slow` when it fires


class Connection(PacedProtocol):
    """A connection to a backend. It carries one call at a time, and writes each call at most once."""

    __slots__ = (
        "backend", "buffered_bytes", "call", "closed", "file_descriptor", "has_unwritten_data",
        "idle_since_ms", "last_read_ms", "last_response_ms", "pool", "reader", "response_started_ms",
        "response_timer",
    )

    def __init__(self, pool: ConnectionOwner, backend: Backend) -> None:
        super().__init__(pool.input_scheduler)
        self.pool, self.backend = pool, backend
        self.call: Call | None = None
        self.reader = response_reader.ResponseReader()
        # `has_unwritten_data` is set while a part of the request is not written to the socket yet.
        self.has_unwritten_data = self.closed = False
        # `last_response_ms` is the time of the last complete response, or 0 before the first one.
        self.idle_since_ms = self.last_response_ms = 0.0
        self.file_descriptor = -1
        # These four describe the current response while it is incomplete.
        self.response_timer: asyncio.TimerHandle | None = None
        self.response_started_ms = self.last_read_ms = 0.0
        self.buffered_bytes = 0  # with what waits to be parsed
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a newly established connection.

        With a high-water mark of 0, the loop calls `pause_writing` whenever a write is not sent at once.
        """
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=0)
        self.idle_since_ms = self.pool.clock.now()
        self.file_descriptor = self.transport.get_extra_info("socket").fileno()

    def pause_writing(self) -> None:
        """Record that part of the request is not written yet.

        If the connection is lost now, the backend cannot have executed the request.
        """
        self.has_unwritten_data = True

    def resume_writing(self) -> None:
        """Record that the whole request has been written to the socket."""
        self.has_unwritten_data = False

    def send_call(self, call: Call) -> None:
        """Write the whole request with a single `write`, if it may still be sent."""
        if not call.may_be_sent():
            self.pool.release(self)
            # The call must not end from within `ConnectionPool.start`.
            self.pool.loop.call_soon(self.pool.fail_unsent, call, Outcome.NOT_SENT)
            return
        self.call, call.connection = call, self
        call.written_ms = now = self.pool.clock.now()
        time_left = b"" if call.is_probe else http1.time_left_header(call.deadline_at_ms - now)
        host = self._host_header() if call.is_probe else b""
        self.transport.write(b"%b%b%b\r\n%b" % (call.head, host, time_left, call.body))
        if self.transport.is_closing():
            # The write failed at once, so nothing was sent.
            self.has_unwritten_data = True

    def _host_header(self) -> bytes:
        name, port = self.backend.address
        return b"Host: %b:%d\r\n" % (name.encode(), port)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a part of a response, or let it wait for its turn; unsolicited bytes close the connection."""
        if self.closed:
            return
        if self.call is None:
            self.close(BackendCloseReason.UNSOLICITED_DATA)
            return
        if self.response_timer is None:
            self.response_started_ms = self.pool.clock.now()
        self.buffered_bytes += nbytes
        self.pool.response_memory.change(nbytes)
        super().buffer_updated(nbytes)
        if self.pool.response_memory.exceeded:
            self.pool.free_response_memory()

    def in_long_message(self) -> bool:
        """Return whether the response has cost much time already."""
        return self.reader.part_count >= COSTLY_PART_COUNT

    def parse(self, data: bytes) -> None:
        """Feed the response reader, and end the call if its response is complete or malformed."""
        if self.closed or self.call is None:
            return
        try:
            response = self.reader.feed(data)
        except http1.MalformedMessageError:
            self._finish_call(UNREADABLE_RESPONSE_OUTCOME, None)
            return
        if response is not None:
            reader = self.reader
            reusable = (
                response.keep_alive and reader.idle and not reader.has_trailing_data
                and not self.has_unwritten_data)
            self._finish_call(outcome_of_response(response), response, reusable=reusable)
            return
        self.last_read_ms = self.pool.clock.now()
        if self.response_timer is None:
            self.response_timer = self.pool.loop.call_later(
                RESPONSE_READ_TIMEOUT_S, self._check_response_timeout)

    def _check_response_timeout(self) -> None:
        """Fail the call if its response has exceeded a timeout; otherwise check again when one expires."""
        self.response_timer = None
        if self.unparsed:  # it is not the backend's fault that no more is read
            self.last_read_ms = self.pool.clock.now()
        due_ms = min(
            self.last_read_ms + RESPONSE_READ_TIMEOUT_S * 1000.0,
            self.response_started_ms + RESPONSE_TIMEOUT_S * 1000.0,
        )
        remaining_s = (due_ms - self.pool.clock.now()) / 1000.0
        if remaining_s > 0.001:
            self.response_timer = self.pool.loop.call_later(remaining_s, self._check_response_timeout)
        else:
            self._finish_call(UNREADABLE_RESPONSE_OUTCOME, None)

    def fail_response(self) -> None:
        """End the call as failed, because its response is incomplete and memory is scarce."""
        self.pool.counts["responses dropped for memory"] += 1
        self._finish_call(UNREADABLE_RESPONSE_OUTCOME, None)

    def _reset_response_tracking(self) -> None:
        self.pool.response_memory.change(-self.buffered_bytes)
        self.buffered_bytes = 0
        if self.response_timer is not None:
            self.response_timer.cancel()
            self.response_timer = None

    def has_unread_input(self) -> bool:
        """Return whether the idle connection's socket holds input that the event loop has not read yet.

        Bytes that arrived before a request was written would otherwise be taken for its response.
        """
        poll = select.poll()
        poll.register(self.file_descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def eof_received(self) -> bool:
        """End the call or close the idle connection, because the backend has closed its side.

        For an idle connection, this also updates the backend's `max_idle_ms`.
        """
        self.parse_unparsed()
        if self.call is not None:
            self._finish_call_at_eof()
        elif not self.closed:
            # The backend may close idle connections sooner than the settings say. A request that is written
            # at the moment when it does so would end as a reset.
            idle_ms = self.pool.clock.now() - self.idle_since_ms
            if idle_ms > MIN_OBSERVED_IDLE_MS:
                self.backend.max_idle_ms = max(
                    MIN_OBSERVED_IDLE_MS, min(self.backend.max_idle_ms, OBSERVED_IDLE_FACTOR * idle_ms))
            self.close(BackendCloseReason.BACKEND_CLOSED)
        return False

    def _finish_call_at_eof(self) -> None:
        """End the call: the EOF completes a response without a length, and cuts off any other one."""
        response = None if self.has_unwritten_data else self.reader.end_of_input()
        if response is None:
            self._cut_off_call("calls ended by eof")
        else:
            self.pool.counts["responses ended by eof"] += 1
            self._finish_call(outcome_of_response(response), response)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call, because the connection was lost."""
        self.parse_unparsed()
        if self.call is not None:
            self._cut_off_call("calls ended by reset")
        elif not self.closed:
            self.close(BackendCloseReason.BACKEND_CLOSED)

    def _cut_off_call(self, counter: str) -> None:
        """End the call, because the connection has ended before the request or the response was whole."""
        self.pool.counts[counter] += 1
        self._finish_call(Outcome.CONNECT_FAILED if self.has_unwritten_data else Outcome.RESET, None)

    def _finish_call(
        self, outcome: api.Outcome, response: http1.Response | None, *, reusable: bool = False,
    ) -> None:
        call, self.call = self.call, None
        self._reset_response_tracking()
        if reusable:
            self.idle_since_ms = self.last_response_ms = self.pool.clock.now()
            self.pool.release(self)
        else:
            self.close(BackendCloseReason.CALL_ENDED)
        if call is not None:
            call.connection = None
            call.complete(outcome, response)

    def close(self, reason: BackendCloseReason) -> None:
        """Close the connection at once and discard what is not written yet."""
        if not self.closed:
            self.pool.close_counts[f"backend connections closed {reason.value}"] += 1
            self.remove_from_pool()
            if self.has_unwritten_data and not self.transport.is_closing():
                self._shutdown_socket()
            self.transport.abort()

    def _shutdown_socket(self) -> None:
        """Shut down the socket, so that the rest of the request cannot be sent any more.

        When a connection closes, the event loop tries once more to write its buffer. The backend could then
        execute a request whose outcome says that it was not executed. The descriptor is not duplicated for
        this: there may be none left.
        """
        with suppress(OSError):  # fails if the backend has already closed the connection
            borrowed = socket.socket(fileno=self.file_descriptor)
            try:
                borrowed.shutdown(socket.SHUT_RDWR)
            finally:
                borrowed.detach()

    def remove_from_pool(self) -> None:
        """Remove the connection from the pool. This must be called only once; later input is ignored."""
        self.closed = True
        self._reset_response_tracking()
        self.reader.close()
        self.pool.connection_closed(self)
