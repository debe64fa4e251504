"""A connection from a client: reading its requests one at a time, and writing their responses."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol, cast

from honeywharf.net import http1, message_reader, request_reader
from honeywharf.net.arrival_times import ArrivalTimes
from honeywharf.net.clock import Clock
from honeywharf.net.close_reason import CloseReason
from honeywharf.net.input_scheduler import READ_BUFFER_BYTES, InputScheduler
from honeywharf.net.memory_budget import MemoryBudget

#: The most input that is held while a request is served or a response is unread. A client that sends more
#: while its request is served loses the connection once it has the responses to what is held. It is enough
#: for two requests of any size.
MAX_HELD_INPUT_BYTES = 2 * (message_reader.MAX_HEAD_BYTES + request_reader.MAX_REQUEST_BODY_BYTES)
#: A request that is being served is held twice: by the request itself, and by the attempt that is written.
COPIES_OF_SERVED_REQUEST = 2
#: A connection stays open for this time after its last response. Closing a socket with unread input resets
#: the connection, and the client may lose the response.
LINGER_TIMEOUT_S = 0.5
#: If the last response is not fully written to the socket by then, the connection stays open for this time
#: in total.
UNWRITTEN_LINGER_TIMEOUT_S = 3.0
#: Up to this much input is read and discarded while a connection lingers.
MAX_DISCARDED_BYTES = 256 * 1024


class ConnectionOwner(Protocol):
    """The part of the frontend that a connection uses."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    draining: bool  # the last response closes its connection
    input_scheduler: InputScheduler
    client_memory: MemoryBudget  # what all connections hold
    lingering: dict[ClientConnection, None]  # the connections whose last response has been sent

    def free_memory(self) -> None:
        """Make clients release memory, because the budget is exceeded."""

    def record_close(self, connection: ClientConnection, reason: CloseReason, status: int) -> None:
        """Count and log why a connection is closed; `status` is that of its error response, or 0."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a new connection."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def set_group(self, connection: ClientConnection, group: dict[ClientConnection, None] | None) -> None:
        """Move the connection to a group, or out of its group if `group` is None."""

    def register_waiting(self, connection: ClientConnection) -> None:
        """Put a connection that waits for a request, or for the rest of one, into its group."""

    def dispatch_request(self, request: http1.Request, connection: ClientConnection) -> None:
        """Have the request answered."""

    def client_disconnected(self, request: http1.Request) -> None:
        """Drop the request of a client that has disconnected."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection. Its requests are read and served one at a time.

    While a request is served, or its response is not fully written to the socket, no further request is
    parsed, and a limited amount of input is held. Beyond that, reading pauses while a response is unread. It
    goes on while a request is served, because the end of the input, which shows that the client has left,
    follows all of it; what exceeds the limit is then dropped. So a client holds a limited amount of memory,
    however much it sends, and nothing is begun for a client that has left.
    """

    __slots__ = (
        "arrival_times", "close_reason", "closing", "current_request", "descriptor", "discarded_bytes",
        "group", "group_entered_ms", "has_dropped_input", "has_unwritten_data", "held_bytes", "linger_timer",
        "owner", "queued", "reader", "reading_paused_ms", "transport",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.reader = request_reader.RequestReader(self._send_continue)
        self.current_request: http1.Request | None = None  # the one that is being served
        self.queued = False  # waits for its turn to parse its input
        self.has_unwritten_data = False  # part of a response is not written to the socket yet
        self.has_dropped_input = False  # so that no request after the held input can be served
        self.arrival_times = ArrivalTimes()
        # Since when nothing has been read, until all that has arrived meanwhile is read.
        self.reading_paused_ms: float | None = None
        self.close_reason: CloseReason | None = None  # the first one, once the connection is being closed
        self.closing = False  # once set, no more requests are read, and no responses sent
        self.discarded_bytes = 0  # input received while closing
        self.group: dict[ClientConnection, None] | None = None  # the owner's group that it is in
        self.group_entered_ms = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.descriptor = -1
        self.held_bytes = 0  # what the connection holds, as counted in the owner's budget
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` is called if anything is unwritten
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.owner.connection_opened(self)

    def pause_writing(self) -> None:
        """Record that part of a response is not written to the socket yet."""
        self.has_unwritten_data = True
        self._count_memory()

    def resume_writing(self) -> None:
        """Record that all responses are written to the socket, and continue with the next request."""
        self.has_unwritten_data = False
        self._count_memory()
        self._continue()

    def _count_memory(self) -> None:
        """Count what the connection holds in the owner's budget."""
        held_bytes = self.reader.held_bytes + self.transport.get_write_buffer_size()
        if self.current_request is not None:
            held_bytes += COPIES_OF_SERVED_REQUEST * self.current_request.held_bytes
        change_bytes, self.held_bytes = held_bytes - self.held_bytes, held_bytes
        self.owner.client_memory.change(change_bytes)
        if change_bytes > 0 and self.owner.client_memory.exceeded:
            self.owner.free_memory()

    def _send_continue(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.owner.input_scheduler.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the input that was read, and parse it if it is this connection's turn."""
        if self.closing:
            self._discard(nbytes)
            return
        arrived_ms = self._earliest_arrival_ms(nbytes)
        if self.has_dropped_input or len(self.reader.input) > MAX_HELD_INPUT_BYTES - READ_BUFFER_BYTES:
            self.has_dropped_input = True
            return
        self.arrival_times.add(nbytes, arrived_ms)
        self.reader.receive(bytes(self.owner.input_scheduler.read_buffer[:nbytes]))
        if self._is_busy() or self.queued:
            self._pause_if_not_serving()
            self._count_memory()
        elif self.owner.input_scheduler.may_process_now(self):
            self.owner.input_scheduler.process(self)
        else:
            self._pause_reading()
            self.owner.register_waiting(self)
            self._enqueue()
            self._count_memory()

    def _earliest_arrival_ms(self, size: int) -> float:
        """Return the earliest time at which the input that was just read can have arrived.

        The client's time for a request also runs while the request waits in the operating system because
        reading is paused.
        """
        paused_ms = self.reading_paused_ms
        if paused_ms is None:
            return self.owner.clock.now()
        if size < READ_BUFFER_BYTES:  # nothing more waits
            self.reading_paused_ms = None
        return paused_ms

    def _is_busy(self) -> bool:
        return self.current_request is not None or self.has_unwritten_data

    def _pause_reading(self) -> None:
        if self.transport.is_reading():
            self.transport.pause_reading()
            if self.reading_paused_ms is None:
                self.reading_paused_ms = self.owner.clock.now()

    def _pause_if_not_serving(self) -> None:
        """Pause reading if no request is served and enough input is held."""
        is_full = len(self.reader.input) > MAX_HELD_INPUT_BYTES - READ_BUFFER_BYTES
        if self.current_request is None and (is_full or self.queued):
            self._pause_reading()

    def _resume_reading(self) -> None:
        if not self.transport.is_reading() and not self.transport.is_closing():
            self.transport.resume_reading()

    def _enqueue(self) -> None:
        if not self.queued:
            self.queued = True
            self.owner.input_scheduler.enqueue(self)

    def _continue(self) -> None:
        """Go on with the input that was read while the connection was busy."""
        if not self.closing and not self._is_busy() and (
                self.reader.has_input or self.has_dropped_input or not self.transport.is_reading()):
            self._enqueue()

    def drop_input(self) -> None:
        """Drop the held input that follows the request being served, because memory is scarce."""
        self.has_dropped_input = True
        self.reader.discard()
        self._count_memory()

    def in_long_message(self) -> bool:
        """Return whether much of the current message has been parsed already."""
        return self.reader.message_bytes >= request_reader.MAX_CHUNKED_PIECE_BYTES

    def process_input(self) -> None:
        """Dispatch the next request; reject bad input, and read on if the request is incomplete."""
        self.queued = False
        if self.closing or self._is_busy():
            return
        if not self.transport.is_reading() and self.disconnected():
            return  # The end of the input cannot be read yet: it follows input that still waits.
        request = self.reader.next_request()
        arrived_ms = self.arrival_times.take(len(self.reader.input))
        if request is not None:
            request.received_ms = arrived_ms
            self._dispatch(request)
        elif self.reader.error is not None:
            self.reject_and_close(self.reader.error.status, CloseReason.MALFORMED)
        elif self.has_dropped_input and not self.reader.has_input:
            self.reject_and_close(http1.SERVICE_UNAVAILABLE, CloseReason.TOO_MUCH_INPUT)
        else:
            self.owner.register_waiting(self)
            if self.reader.has_input:
                self._pause_reading()
                self._enqueue()
            else:
                self._resume_reading()
            self._count_memory()

    def _dispatch(self, request: http1.Request) -> None:
        self.current_request = request
        self.owner.set_group(self, None)
        self._resume_reading()
        self._count_memory()
        self.owner.dispatch_request(request, self)

    def _discard(self, size: int) -> None:
        """Discard input that arrives after the last response, up to a limit.

        If it were left unread, closing the socket would reset the connection, and the client could lose the
        response.
        """
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport.is_reading():
            self.transport.pause_reading()

    def send_response(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the response to the current request, and continue with the next request."""
        request, self.current_request = self.current_request, None
        if request is None or self.closing:
            return
        self._pause_if_not_serving()
        # During a drain, a request that has been read already is still served.
        has_input = self.reader.has_input or self.has_dropped_input
        keep_alive = request.keep_alive and (not self.owner.draining or has_input)
        self.transport.write(http1.format_response(
            status, body, keep_alive=keep_alive, retry_after_ms=retry_after_ms, content_type=content_type))
        if not keep_alive:
            self._linger(CloseReason.LAST_RESPONSE)
            return
        self.owner.register_waiting(self)
        self._count_memory()
        self._continue()

    def reject_and_close(self, status: int, reason: CloseReason) -> None:
        """Write an error response, read no more requests and close the connection."""
        if self.closing:
            return
        if self.transport.is_closing():  # it has just broken, and the event loop has not reported it yet
            self.abort(CloseReason.CLIENT_LEFT)
            return
        self.transport.write(http1.format_response(status, keep_alive=False))
        self._linger(reason, status)

    def _linger(self, reason: CloseReason, status: int = 0) -> None:
        """Close the sending side now, and the whole connection when the client closes it or after a timeout.

        If the connection were closed at once, unread input would reset it, and the client could lose the
        last response.
        """
        self._begin_closing(reason, status)
        self.owner.set_group(self, self.owner.lingering)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.linger_timer = self.owner.loop.call_later(LINGER_TIMEOUT_S, self._linger_expired)

    def _linger_expired(self) -> None:
        self.linger_timer = None
        if self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.linger_timer = self.owner.loop.call_later(
                UNWRITTEN_LINGER_TIMEOUT_S - LINGER_TIMEOUT_S, self.transport.abort)
        else:
            self.transport.abort()

    def _begin_closing(self, reason: CloseReason, status: int = 0) -> None:
        if self.close_reason is None:
            self.close_reason = reason
            self.owner.record_close(self, reason, status)
        self.closing, self.current_request = True, None
        self.reader.discard()
        self.owner.set_group(self, None)
        self._count_memory()
        self._resume_reading()

    def close(self, reason: CloseReason) -> None:
        """Close a connection without a complete request.

        Input that has not been parsed yet may hold one, so it gets an error response.
        """
        if self.reader.has_input:
            self.reject_and_close(http1.SERVICE_UNAVAILABLE, reason)
        elif self.transport.get_write_buffer_size():  # the last response is not fully written to the socket
            self._linger(reason)
        else:
            self.abort(reason)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once, even if a response is not fully written."""
        self._begin_closing(reason)
        self._release_memory()
        self.transport.abort()

    def _release_memory(self) -> None:
        self.owner.client_memory.change(-self.held_bytes)
        self.held_bytes = 0

    def disconnected(self) -> bool:
        """Whether the client has closed the connection or its sending side.

        This asks the operating system, because the event loop may not have noticed yet. It does not notice at
        all while reading is paused, so the connection is then dropped here.
        """
        if self.closing or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.descriptor, select.POLLRDHUP)
        has_disconnected = bool(poll.poll(0))
        if has_disconnected and not self.transport.is_reading():
            self.owner.loop.call_soon(self._drop)
        return has_disconnected

    def _drop(self) -> None:
        """Drop the client's requests and close the connection, because the client has disconnected."""
        if not self.closing:
            self._drop_requests()
            self.abort(CloseReason.CLIENT_LEFT)

    def eof_received(self) -> bool:
        """Drop the client's requests: closing the connection, or only its sending side, cancels them.

        `connection_lost` is too late for this: it is called only after the buffered responses are written,
        and until then the requests could still be sent to backends. The client has a limited time to read the
        last response. Otherwise one that never does would hold the connection for good.
        """
        self._drop_requests()
        if not self.has_unwritten_data:
            return False
        if self.linger_timer is None:
            self._linger(CloseReason.CLIENT_LEFT)
        return True

    def _drop_requests(self) -> None:
        """Drop the input and the current request, if there is one without a response."""
        request = self.current_request
        self._begin_closing(CloseReason.CLIENT_LEFT)
        if request is not None:
            self.owner.client_disconnected(request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the client's requests and release the connection."""
        self._drop_requests()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
        self._release_memory()
        self.owner.connection_closed(self)
        self.reader.close()
        del self.reader
