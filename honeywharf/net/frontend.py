"""The listener and all connections from clients: limits, timeouts, the readiness endpoint and draining."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from honeywharf.net import http1
from honeywharf.net.acceptor import Acceptor
from honeywharf.net.client_connection import ClientConnection
from honeywharf.net.clock import Clock
from honeywharf.net.close_reason import LOGGED_CLOSE_REASONS, CloseReason
from honeywharf.net.config import Address
from honeywharf.net.driver import Driver
from honeywharf.net.event_log import EventLog
from honeywharf.net.input_scheduler import InputScheduler
from honeywharf.net.memory_budget import MemoryBudget

READINESS_PATH = b"/health/ready"
API_PATH = b"/api"
LISTEN_BACKLOG = 1024
#: A connection on which nothing has been received is closed after this time.
FIRST_BYTE_TIMEOUT_MS = 2000.0
#: A connection is closed after it has been idle for this time since its last response.
IDLE_TIMEOUT_MS = 6000.0
#: The idle timeout while more than half of the allowed connections are open.
REDUCED_IDLE_TIMEOUT_MS = 2000.0
#: A request must be received completely within this time after its first byte.
REQUEST_TIMEOUT_MS = 2400.0
#: A client may leave a response unread for this time, even if memory is scarce.
MIN_UNREAD_AGE_MS = 1000.0
#: A connection without a complete request is evicted before the idle ones only if it has waited this long.
MIN_EVICTION_AGE_MS = 250.0
SWEEP_INTERVAL_S = 0.2
#: The process is measured after this many new connections.
CONNECTIONS_PER_CHECK = 32


class Frontend:
    """The listening socket and all connections from clients."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, max_connections: int,
        max_memory_bytes: int, can_serve: Callable[[], bool], event_log: EventLog,
    ) -> None:
        self.loop, self.clock, self.driver, self.max_connections = loop, clock, driver, max_connections
        self.can_serve, self.event_log = can_serve, event_log
        self.counts: Counter[str] = Counter()  # event counters for the `connections` line of the log
        self.client_memory = MemoryBudget(max_memory_bytes)
        self.input_scheduler = InputScheduler(loop, clock)
        self.connections: set[ClientConnection] = set()
        # Each group holds connections without a complete request, in the order in which they entered it.
        self.awaiting_first_byte: dict[ClientConnection, None] = {}  # nothing has been received
        self.receiving: dict[ClientConnection, None] = {}  # part of a request has been received
        self.idle: dict[ClientConnection, None] = {}  # the response to the last request has been sent
        self.lingering: dict[ClientConnection, None] = {}  # the last response has been sent
        self.acceptor: Acceptor | None = None
        self.draining = False
        # While a resource is scarce, connections without a request are closed until there are no more.
        self.preferred_connections = max_connections
        # Measures the process between two regular measurements, as it may have grown.
        self.check_memory: Callable[[], object] = lambda: None
        self._opened_since_check = 0
        self.overloaded = False  # whether new requests get a 503, because the event loop is late
        self.refusing_requests = False  # whether new requests get a 503, because the process is about to end
        self.on_all_closed: Callable[[], None] | None = None

    def listen(self, address: Address) -> Address:
        """Open the listener, and return its address."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
        self.acceptor = Acceptor(
            self.loop, listener, lambda: ClientConnection(self), self._close_unused,
            self._notify_if_all_closed)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        host, port = listener.getsockname()[:2]
        return host, port

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a new connection.

        Beyond the limit, another connection is evicted; if none can be, the new one is rejected.
        """
        self.connections.add(connection)
        self._opened_since_check += 1
        if self._opened_since_check >= CONNECTIONS_PER_CHECK:
            self._opened_since_check = 0
            self.check_memory()
        if len(self.connections) > self.max_connections and not self._evict():
            connection.reject_and_close(http1.SERVICE_UNAVAILABLE, CloseReason.CONNECTION_LIMIT)
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
            flushed.abort(CloseReason.EVICTED)
            return True
        evictable_before_ms = self.clock.now() - MIN_EVICTION_AGE_MS
        for group in (self.awaiting_first_byte, self.receiving):
            first = next(iter(group), None)
            if first is not None and first.group_entered_ms < evictable_before_ms:
                first.close(CloseReason.EVICTED)
                return True
        first = next(iter(self.idle), None) or next(iter(self.awaiting_first_byte), None)
        if first is not None:
            first.close(CloseReason.EVICTED)
        return first is not None

    def limit(self, *, memory_fraction: float, max_connections: int, refuse_requests: bool) -> None:
        """Limit what clients may hold, and release what exceeds the limits."""
        self.client_memory.fraction, self.overloaded = memory_fraction, refuse_requests
        self.preferred_connections = max_connections
        if self.client_memory.exceeded:
            self.free_memory()
        while len(self.connections) > self.preferred_connections and self._close_unused():
            pass

    def _close_unused(self) -> bool:
        """Close a connection that has been without a complete request for some time, if there is one."""
        unused_since_ms = self.clock.now() - MIN_EVICTION_AGE_MS
        for group in (self.lingering, self.awaiting_first_byte, self.idle):
            first = next(iter(group), None)
            if first is None or first.group_entered_ms >= unused_since_ms:
                continue
            if not first.has_unwritten_data:
                first.abort(CloseReason.EVICTED)
                return True
        first = next(iter(self.receiving), None)
        if first is None or first.group_entered_ms >= unused_since_ms:
            return False
        first.reject_and_close(http1.SERVICE_UNAVAILABLE, CloseReason.EVICTED)
        return True

    def free_memory(self) -> None:
        """Close connections until the memory that clients hold keeps its budget.

        Incomplete requests that hold the most are refused first. Next comes the input that follows requests
        which are being served, and then clients that do not read their responses. If all of the memory is
        held by requests that are being served, nothing is closed.
        """
        unread_since_ms = self.clock.now() - MIN_UNREAD_AGE_MS
        while self.client_memory.exceeded and self.receiving:
            largest = max(self.receiving, key=lambda c: c.held_bytes)
            largest.reject_and_close(http1.SERVICE_UNAVAILABLE, CloseReason.MEMORY)
        while self.client_memory.exceeded and (holding := [c for c in self.connections if c.reader.input]):
            self.counts["inputs dropped for memory"] += 1
            max(holding, key=lambda c: len(c.reader.input)).drop_input()
        while self.client_memory.exceeded and (unread := [
                c for c in (*self.idle, *self.lingering)
                if c.has_unwritten_data and c.group_entered_ms < unread_since_ms]):
            max(unread, key=lambda c: c.held_bytes).abort(CloseReason.MEMORY)

    def set_group(self, connection: ClientConnection, group: dict[ClientConnection, None] | None) -> None:
        """Move the connection to a group, or out of its group if `group` is None."""
        if connection.group is not None:
            connection.group.pop(connection, None)
        connection.group = group
        if group is not None:
            group[connection] = None
            connection.group_entered_ms = self.clock.now()

    def register_waiting(self, connection: ClientConnection) -> None:
        """Put a connection that waits for the rest of a request, or for the next one, into its group."""
        group = self.idle if connection.reader.idle else self.receiving
        if connection.group is not group:
            self.set_group(connection, group)

    def record_close(self, connection: ClientConnection, reason: CloseReason, status: int) -> None:
        """Count and log why a connection is closed; `status` is that of its error response, or 0."""
        self.counts[f"closed {reason.value}"] += 1
        if reason in LOGGED_CLOSE_REASONS:
            reader = connection.reader
            request = connection.current_request or reader.request
            self.event_log.write(
                "client closed:", reason=reason.value, status=status or "-", request=request.id or "-",
                held=connection.held_bytes, parsed=reader.message_bytes, open=len(self.connections),
                memory=self.client_memory.used_bytes)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._notify_if_all_closed()

    def client_disconnected(self, request: http1.Request) -> None:
        """Drop the request of a client that has disconnected."""
        self.driver.client_disconnected(request)

    def _notify_if_all_closed(self) -> None:
        if self.on_all_closed is None or self.connections:
            return
        if self.acceptor is None or self.acceptor.idle:
            self.on_all_closed()

    def dispatch_request(self, request: http1.Request, connection: ClientConnection) -> None:
        """Pass the request to the driver, unless the proxy sends the response itself."""
        path = request.target.partition(b"?")[0]
        if path == READINESS_PATH and request.method == b"GET":
            connection.send_response(200 if self.ready() else http1.SERVICE_UNAVAILABLE)
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            connection.send_response(404)
        elif self.driver.validation_error(request) is not None:
            connection.reject_and_close(400, CloseReason.INVALID)
        elif (self.refusing_requests or self.overloaded or self.driver.at_capacity()
                or self.client_memory.exceeded):
            # The request does not reach the balancer, so no backend has executed it.
            reason = self._refusal_reason()
            self.counts[f"refused {reason}"] += 1
            self.event_log.write("request refused:", request=request.id, reason=reason)
            connection.send_response(http1.SERVICE_UNAVAILABLE)
        elif not self.driver.accept_request(request, connection):
            self.event_log.write("request rejected:", request=request.id, reason="repeated id")
            connection.send_response(409)

    def _refusal_reason(self) -> str:
        if self.refusing_requests:
            return "stopping"
        if self.overloaded:
            return "overloaded"
        return "at capacity" if self.driver.at_capacity() else "memory"

    def ready(self) -> bool:
        """Whether the readiness endpoint reports that clients may send requests."""
        return self.acceptor is not None and not self.draining and self.can_serve()

    def drain(self) -> None:
        """Start draining: connections close after their last response, and idle ones close now."""
        self.draining = True
        for connection in list(self.idle):
            connection.close(CloseReason.DRAIN)

    def close_idle(self) -> None:
        """Close the idle connections, and those on which nothing has been received."""
        for connection in [*self.awaiting_first_byte, *self.idle]:
            connection.close(CloseReason.DRAIN)

    def stop_listening(self, on_all_closed: Callable[[], None] | None = None) -> None:
        """Close the listener; `on_all_closed` is called once the last connection is closed."""
        self.on_all_closed = on_all_closed
        if self.acceptor is not None:
            self.acceptor.stop()
        self._notify_if_all_closed()

    def has_unwritten_data(self) -> bool:
        """Whether part of a response is not written to its socket yet."""
        return any(c.transport.get_write_buffer_size() for c in self.connections)

    def _sweep(self) -> None:
        """Close the connections that have timed out.

        Otherwise clients that send no request, or never complete one, would keep file descriptors in use.
        """
        now, over_half_used = self.clock.now(), len(self.connections) * 2 > self.max_connections
        self._close_expired(self.awaiting_first_byte, now - FIRST_BYTE_TIMEOUT_MS, CloseReason.NO_REQUEST)
        idle_timeout_ms = REDUCED_IDLE_TIMEOUT_MS if over_half_used else IDLE_TIMEOUT_MS
        self._close_expired(self.idle, now - idle_timeout_ms, CloseReason.IDLE)
        while self.receiving and (
                first := next(iter(self.receiving))).group_entered_ms <= now - REQUEST_TIMEOUT_MS:
            first.reject_and_close(408, CloseReason.REQUEST_TIMEOUT)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @staticmethod
    def _close_expired(group: dict[ClientConnection, None], cutoff_ms: float, reason: CloseReason) -> None:
        while group and (first := next(iter(group))).group_entered_ms <= cutoff_ms:
            first.close(reason)
