"""Connections from clients: reading requests, writing the responses, the readiness endpoint and draining."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from honeywharf.net import http1, message_readers
from honeywharf.net.clock import Clock
from honeywharf.net.config import Address
from honeywharf.net.driver import SERVICE_UNAVAILABLE, Driver

READINESS_PATH = b"/health/ready"
API_PATH = b"/api"
LISTEN_BACKLOG = 1024
#: A client that pipelines more requests than this is rejected. Clients normally send one request at a time.
MAX_PIPELINED_REQUESTS = 8
#: The maximum total body size of two or more pipelined requests.
MAX_PIPELINED_BYTES = message_readers.MAX_REQUEST_BODY_BYTES
#: A connection on which nothing has been received is closed after this time.
FIRST_BYTE_TIMEOUT_MS = 2000.0
#: A connection is closed after it has been idle for this time since its last response.
IDLE_TIMEOUT_MS = 6000.0
#: The idle timeout while more than half of the allowed connections are open.
REDUCED_IDLE_TIMEOUT_MS = 2000.0
#: A request must be received completely within this time after its first byte.
REQUEST_TIMEOUT_MS = 2400.0
#: A connection without a complete request is evicted before the idle ones only if it has waited this long.
MIN_EVICTION_AGE_MS = 250.0
#: A connection stays open for this time after its last response. Closing a socket with unread input resets
#: the connection, and the client may lose the response.
LINGER_TIMEOUT_S = 0.5
#: If the last response is not fully written to the socket by then, the connection stays open for this time
#: in total.
UNWRITTEN_LINGER_TIMEOUT_S = 3.0
#: Up to this much input is read and discarded while a connection lingers.
MAX_DISCARDED_BYTES = 256 * 1024
SWEEP_INTERVAL_S = 0.2


class Connection(asyncio.Protocol):
    """A client's connection. Its requests are served one at a time, in the order of their arrival."""

    __slots__ = (
        "closing", "current_request", "descriptor", "discarded_bytes", "frontend", "group",
        "group_entered_ms", "linger_timer", "parse_error", "pipelined", "pipelined_bytes", "reader",
        "transport",
    )

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.reader = message_readers.RequestReader(self._send_continue)
        self.current_request: http1.Request | None = None
        self.pipelined: deque[http1.Request] = deque()
        self.pipelined_bytes = 0
        self.parse_error: http1.MalformedMessageError | None = None
        self.closing = False  # once set, no more requests are read, and no responses sent
        self.discarded_bytes = 0  # input received while closing
        self.group: dict[Connection, None] | None = None  # the frontend's group that contains this connection
        self.group_entered_ms = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.descriptor = -1
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the frontend."""
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.frontend.connection_opened(self)

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
            now = self.frontend.clock.now()
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
            self.frontend.driver.client_disconnected(request)

    def _process_next(self) -> None:
        if self.pipelined:
            self.current_request = self.pipelined.popleft()
            self.pipelined_bytes -= len(self.current_request.body)
            self.frontend.set_group(self, None)
            self.frontend.dispatch_request(self.current_request, self)
        elif self.parse_error is not None:
            self.reject_and_close(self.parse_error.status)
        else:
            self.frontend.register_waiting(self)

    def send_response(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the response to the current request, and continue with the next request."""
        request, self.current_request = self.current_request, None
        if request is None or self.closing:
            return
        keep_alive = request.keep_alive and not self.frontend.draining
        self.transport.write(http1.format_response(
            status, body, keep_alive=keep_alive, retry_after_ms=retry_after_ms, content_type=content_type))
        if not keep_alive:
            self._linger()
        elif self.pipelined or self.parse_error is not None:
            self.frontend.loop.call_soon(self._resume)
        else:
            self.frontend.register_waiting(self)

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
        self.frontend.set_group(self, self.frontend.lingering)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.linger_timer = self.frontend.loop.call_later(LINGER_TIMEOUT_S, self._linger_expired)

    def _linger_expired(self) -> None:
        self.linger_timer = None
        if self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.linger_timer = self.frontend.loop.call_later(
                UNWRITTEN_LINGER_TIMEOUT_S - LINGER_TIMEOUT_S, self.transport.abort)
        else:
            self.transport.abort()

    def _begin_closing(self) -> None:
        self.closing, self.current_request, self.pipelined_bytes = True, None, 0
        self.pipelined.clear()
        self.frontend.set_group(self, None)

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
            self.frontend.driver.client_disconnected(request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the client's requests and release the connection."""
        self._drop_requests()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
        self.frontend.connection_closed(self)
        self.reader.close()
        del self.reader


class Frontend:
    """The listening socket and all connections from clients."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, max_connections: int,
        can_serve: Callable[[], bool],
    ) -> None:
        self.loop, self.clock, self.driver, self.max_connections = loop, clock, driver, max_connections
        self.can_serve = can_serve
        self.connections: set[Connection] = set()
        # Each group holds connections without a complete request, in the order in which they entered it.
        self.awaiting_first_byte: dict[Connection, None] = {}  # nothing has been received
        self.receiving: dict[Connection, None] = {}  # part of a request has been received
        self.idle: dict[Connection, None] = {}  # the response to the last request has been sent
        self.lingering: dict[Connection, None] = {}  # the last response has been sent
        self.server: asyncio.Server | None = None
        self.listener: socket.socket | None = None
        self.accept_tasks: set[asyncio.Task[object]] = set()
        self.draining = False
        self.refusing_requests = False  # whether new requests get a 503, because the process is about to end
        self.on_all_closed: Callable[[], None] | None = None

    async def listen(self, address: Address) -> Address:
        """Open the listener, and return its address."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.listener = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
        self.listener.setblocking(False)
        self.server = await self.loop.create_server(
            lambda: Connection(self), sock=self.listener, backlog=LISTEN_BACKLOG)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def connection_opened(self, connection: Connection) -> None:
        """Add a new connection.

        Beyond the limit, another connection is evicted; if none can be, the new one is rejected.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_connections and not self._evict():
            connection.reject_and_close(SERVICE_UNAVAILABLE)
            return
        self.set_group(connection, self.awaiting_first_byte)

    def _evict(self) -> bool:
        """Close one connection in favour of a new one, and return whether one could be closed.

        A lingering connection whose last response is fully written goes first: otherwise the connections of
        many rejected clients, each of which lingers for a while, would use up all file descriptors. Next come
        connections that have sent nothing, or only part of a request, for some time, then the idle ones, and
        last new ones that have sent nothing.
        """
        flushed = next((c for c in self.lingering if not c.transport.get_write_buffer_size()), None)
        if flushed is not None:
            self.set_group(flushed, None)
            flushed.transport.abort()
            return True
        evictable_before_ms = self.clock.now() - MIN_EVICTION_AGE_MS
        for group in (self.awaiting_first_byte, self.receiving):
            first = next(iter(group), None)
            if first is not None and first.group_entered_ms < evictable_before_ms:
                first.close()
                return True
        first = next(iter(self.idle), None) or next(iter(self.awaiting_first_byte), None)
        if first is not None:
            first.close()
        return first is not None

    def set_group(self, connection: Connection, group: dict[Connection, None] | None) -> None:
        """Move the connection to a group, or out of its group if `group` is None."""
        if connection.group is not None:
            connection.group.pop(connection, None)
        connection.group = group
        if group is not None:
            group[connection] = None
            connection.group_entered_ms = self.clock.now()

    def register_waiting(self, connection: Connection) -> None:
        """Put a connection that waits for the rest of a request, or for the next one, into its group."""
        group = self.idle if connection.reader.idle else self.receiving
        if connection.group is not group:
            self.set_group(connection, group)

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._notify_if_all_closed()

    def _notify_if_all_closed(self) -> None:
        if not self.connections and not self.accept_tasks and self.on_all_closed is not None:
            self.on_all_closed()

    def dispatch_request(self, request: http1.Request, connection: Connection) -> None:
        """Pass the request to the driver, unless the proxy sends the response itself."""
        path = request.target.partition(b"?")[0]
        if path == READINESS_PATH and request.method == b"GET":
            connection.send_response(200 if self.ready() else SERVICE_UNAVAILABLE)
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            connection.send_response(404)
        elif self.driver.validation_error(request) is not None:
            connection.reject_and_close(400)
        elif self.refusing_requests or self.driver.at_capacity():
            # The request does not reach the balancer, so no backend has executed it.
            connection.send_response(SERVICE_UNAVAILABLE)
        elif not self.driver.accept_request(request, connection):
            connection.send_response(409)

    def ready(self) -> bool:
        """Whether the readiness endpoint reports that clients may send requests."""
        return self.server is not None and not self.draining and self.can_serve()

    def drain(self) -> None:
        """Start draining: each response from now on closes its connection, and idle connections close now."""
        self.draining = True
        for connection in list(self.idle):
            connection.close()

    def close_idle(self) -> None:
        """Close the idle connections, and those on which nothing has been received."""
        for connection in [*self.awaiting_first_byte, *self.idle]:
            connection.close()

    def stop_listening(self, on_all_closed: Callable[[], None] | None = None) -> None:
        """Close the listener; `on_all_closed` is called once the last connection is closed.

        Connections in the accept queue are accepted first. Otherwise closing the listener would reset them
        and lose requests that the kernel has already received. The queue holds connections if the event loop
        is late, because the timer that closes the listener may then run before the listener's events.
        """
        self.on_all_closed = on_all_closed
        if self.server is not None and self.listener is not None and self.server.is_serving():
            while (client_socket := self._accept_next(self.listener)) is not None:
                task = self.loop.create_task(
                    self.loop.connect_accepted_socket(lambda: Connection(self), client_socket))
                self.accept_tasks.add(task)
                task.add_done_callback(self._accept_done)
            self.server.close()
        self._notify_if_all_closed()

    @staticmethod
    def _accept_next(listener: socket.socket) -> socket.socket | None:
        try:
            client_socket, _ = listener.accept()
        except OSError:  # the queue is empty, or no file descriptor is available
            return None
        client_socket.setblocking(False)
        return client_socket

    def _accept_done(self, task: asyncio.Task[object]) -> None:
        self.accept_tasks.discard(task)
        self._notify_if_all_closed()

    def has_unwritten_data(self) -> bool:
        """Whether part of a response is not written to its socket yet."""
        return any(c.transport.get_write_buffer_size() for c in self.connections)

    def _sweep(self) -> None:
        """Close the connections that have timed out.

        Otherwise clients that send no request, or never complete one, would keep file descriptors in use.
        """
        now, over_half_used = self.clock.now(), len(self.connections) * 2 > self.max_connections
        self._close_expired(self.awaiting_first_byte, now - FIRST_BYTE_TIMEOUT_MS)
        self._close_expired(
            self.idle, now - (REDUCED_IDLE_TIMEOUT_MS if over_half_used else IDLE_TIMEOUT_MS))
        while self.receiving and (
                first := next(iter(self.receiving))).group_entered_ms <= now - REQUEST_TIMEOUT_MS:
            first.reject_and_close(408)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _close_expired(self, group: dict[Connection, None], cutoff_ms: float) -> None:
        while group and (first := next(iter(group))).group_entered_ms <= cutoff_ms:
            first.close()
