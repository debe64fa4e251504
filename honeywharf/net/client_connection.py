"""A connection from a client: reading its requests, and writing the responses in their order."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Protocol, cast

from honeywharf.net import http1, message_readers
from honeywharf.net.clock import Clock

#: A client that pipelines more requests than this is rejected. Clients normally send one request at a time.
MAX_PIPELINED_REQUESTS = 8
#: The maximum total body size of two or more pipelined requests.
MAX_PIPELINED_BYTES = message_readers.MAX_REQUEST_BODY_BYTES
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
    draining: bool  # each response closes its connection
    lingering: dict[ClientConnection, None]  # the connections whose last response has been sent

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


class ClientConnection(asyncio.Protocol):
    """A client's connection. Its requests are served one at a time, in the order of their arrival."""

    __slots__ = (
        "closing", "current_request", "descriptor", "discarded_bytes", "group",
        "group_entered_ms", "linger_timer", "owner", "parse_error", "pipelined", "pipelined_bytes", "reader",
        "transport",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.reader = message_readers.RequestReader(self._send_continue)
        self.current_request: http1.Request | None = None
        self.pipelined: deque[http1.Request] = deque()
        self.pipelined_bytes = 0
        self.parse_error: http1.MalformedMessageError | None = None
        self.closing = False  # once set, no more requests are read, and no responses sent
        self.discarded_bytes = 0  # input received while closing
        self.group: dict[ClientConnection, None] | None = None  # the owner's group that it is in
        self.group_entered_ms = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.descriptor = -1
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.owner.connection_opened(self)

    def _send_continue(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        """Parse requests; a request waits until the response to the previous one has been sent."""
        if self.closing:
            self._discard(len(data))
            return
        if self.parse_error is not None:
            return
        requests = self.reader.feed(data)
        self.parse_error = self.reader.error
        if requests:
            now = self.owner.clock.now()
            for request in requests:
                request.received_ms = now
                self.pipelined.append(request)
                self.pipelined_bytes += len(request.body)
            if len(self.pipelined) > MAX_PIPELINED_REQUESTS or (
                    len(self.pipelined) > 1 and self.pipelined_bytes > MAX_PIPELINED_BYTES):
                self._reject_pipeline()
                return
        if self.current_request is None:
            self._process_next()

    def _discard(self, size: int) -> None:
        """Discard input that arrives after the last response, up to a limit.

        If it were left unread, closing the socket would reset the connection, and the client could lose the
        response.
        """
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport.is_reading():
            self.transport.pause_reading()

    def _reject_pipeline(self) -> None:
        """Reject a client that pipelines too much.

        It gets a single 400 on this connection, and its open requests are dropped.
        """
        request = self.current_request
        self.reject_and_close(400)
        if request is not None:
            self.owner.client_disconnected(request)

    def _process_next(self) -> None:
        if self.pipelined:
            self.current_request = self.pipelined.popleft()
            self.pipelined_bytes -= len(self.current_request.body)
            self.owner.set_group(self, None)
            self.owner.dispatch_request(self.current_request, self)
        elif self.parse_error is not None:
            self.reject_and_close(self.parse_error.status)
        else:
            self.owner.register_waiting(self)

    def send_response(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the response to the current request, and continue with the next request."""
        request, self.current_request = self.current_request, None
        if request is None or self.closing:
            return
        keep_alive = request.keep_alive and not self.owner.draining
        self.transport.write(http1.format_response(
            status, body, keep_alive=keep_alive, retry_after_ms=retry_after_ms, content_type=content_type))
        if not keep_alive:
            self._linger()
        elif self.pipelined or self.parse_error is not None:
            self.owner.loop.call_soon(self._resume)
        else:
            self.owner.register_waiting(self)

    def _resume(self) -> None:
        if self.current_request is None and not self.closing:
            self._process_next()

    def reject_and_close(self, status: int) -> None:
        """Write an error response, read no more requests and close the connection."""
        if self.closing:
            return
        self.transport.write(http1.format_response(status, keep_alive=False))
        self._linger()

    def _linger(self) -> None:
        """Close the sending side now, and the whole connection when the client closes it or after a timeout.

        If the connection were closed at once, unread input would reset it, and the client could lose the
        last response.
        """
        self._begin_closing()
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

    def _begin_closing(self) -> None:
        self.closing, self.current_request, self.pipelined_bytes = True, None, 0
        self.pipelined.clear()
        self.owner.set_group(self, None)

    def close(self) -> None:
        """Close a connection without a complete request."""
        if self.transport.get_write_buffer_size():  # the last response is not fully written to the socket
            self._linger()
        else:
            self._begin_closing()
            self.transport.abort()

    def disconnected(self) -> bool:
        """Whether the client has closed the connection or its sending side.

        This asks the operating system, because the event loop may not have noticed yet.
        """
        if self.closing or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

    def eof_received(self) -> bool:
        """Drop the client's requests: closing the connection, or only its sending side, cancels them.

        `connection_lost` is too late for this: it is called only after the buffered responses are written,
        and until then the requests could still be sent to backends.
        """
        self._drop_requests()
        return False

    def _drop_requests(self) -> None:
        """Drop the pipelined requests and the current one, if there is one without a response."""
        request = self.current_request
        self._begin_closing()
        if request is not None:
            self.owner.client_disconnected(request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the client's requests and release the connection."""
        self._drop_requests()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
        self.owner.connection_closed(self)
        self.reader.close()
        del self.reader
