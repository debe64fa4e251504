"""Callers' connections: requests in, one answer each out, the health endpoint, and the end of service."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from honeywharf.net import http1
from honeywharf.net.clock import Clock
from honeywharf.net.config import Address
from honeywharf.net.driver import SERVICE_UNAVAILABLE, Driver

BACKLOG = 1024
READY = b"/health/ready"
CALLS = b"/api"
MAX_PIPELINED = 8  # requests sent ahead on one connection, of so many bytes: clients send one at a time
MAX_PIPELINED_BYTES = http1.MAX_REQUEST_BODY_BYTES
FIRST_BYTE_TIMEOUT_MS = 2000.0  # a connection on which nothing has come is closed then
IDLE_TIMEOUT_MS = 6000.0  # and so is one that has been idle so long after an answer
REDUCED_IDLE_TIMEOUT_MS = 2000.0  # the idle timeout while more than half of the connections are taken
SLOW_MS = 2400.0  # a request must be whole so long after its first byte
YOUNG_MS = 250.0  # under that age a connection that says nothing is not the first to go
LINGER_S = 0.5  # after a last answer: closing on unread bytes would take the answer back
LINGER_MAX_S = 3.0  # the same for a caller that has not taken the answer off yet
LINGER_BYTES = 256 * 1024  # what is read and thrown away in that time
SWEEP_S = 0.2


class Connection(asyncio.Protocol):
    """One caller's connection: one request at a time, in the order they came."""

    __slots__ = (
        "current", "descriptor", "discarded_bytes", "fault", "finished", "frontend", "group", "pipelined",
        "pipelined_bytes", "reader", "since_ms", "timer", "transport",
    )

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.reader = http1.RequestReader(self._continue)
        self.current: http1.Request | None = None
        self.pipelined: deque[http1.Request] = deque()
        self.pipelined_bytes = 0
        self.fault: http1.MalformedMessageError | None = None
        self.finished = False  # nothing more is read or answered here
        self.discarded_bytes = 0  # bytes that came after that
        self.group: dict[Connection, None] | None = None  # which of the frontend's groups it is in
        self.since_ms = 0.0  # in that group since then
        self.timer: asyncio.TimerHandle | None = None
        self.descriptor = -1
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the frontend."""
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.frontend.connection_opened(self)

    def _continue(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        """Read requests; one that comes while another is open waits for its answer."""
        if self.finished:
            self._discard(len(data))
            return
        if self.fault is not None:
            return
        requests = self.reader.feed(data)
        self.fault = self.reader.error
        if requests:
            now = self.frontend.clock.now()
            for request in requests:
                request.received_ms = now
                self.pipelined.append(request)
                self.pipelined_bytes += len(request.body)
            if len(self.pipelined) > MAX_PIPELINED or (
                    len(self.pipelined) > 1 and self.pipelined_bytes > MAX_PIPELINED_BYTES):
                self._reject_pipeline()
                return
        if self.current is None:
            self._next()

    def _discard(self, size: int) -> None:
        """Discard bytes after the last answer, up to a limit: they are read so that the answer arrives."""
        self.discarded_bytes += size
        if self.discarded_bytes > LINGER_BYTES and self.transport.is_reading():
            self.transport.pause_reading()

    def _reject_pipeline(self) -> None:
        """Guards against a caller that pipelines requests by the hundred: none of them is served."""
        request = self.current
        self.reject(400)
        if request is not None:
            self.frontend.driver.client_disconnected(request)

    def _next(self) -> None:
        if self.pipelined:
            self.current = self.pipelined.popleft()
            self.pipelined_bytes -= len(self.current.body)
            self.frontend.move(self, None)
            self.frontend.serve(self.current, self)
        elif self.fault is not None:
            self.reject(self.fault.status)
        else:
            self.frontend.wait_for_request(self)

    def answer(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        """Write the answer to the current request, then turn to the next."""
        request, self.current = self.current, None
        if request is None or self.finished:
            return
        keep_alive = request.keep_alive and not self.frontend.draining
        self.transport.write(http1.format_response(
            status, body, keep_alive=keep_alive, retry_after_ms=retry_after_ms, content_type=content_type))
        if not keep_alive:
            self._linger()
        elif self.pipelined or self.fault is not None:
            self.frontend.loop.call_soon(self._resume)
        else:
            self.frontend.wait_for_request(self)

    def _resume(self) -> None:
        if self.current is None and not self.finished:
            self._next()

    def reject(self, status: int) -> None:
        """Answer an invalid request, and read no more."""
        if self.finished:
            return
        self.transport.write(http1.format_response(status, keep_alive=False))
        self._linger()

    def _linger(self) -> None:
        """Close after the last answer: at once on this side, and wholly when the caller has or time is up.

        Guards against a reset, which takes back the answer where bytes have come that nobody has read.
        """
        self._finish()
        self.frontend.move(self, self.frontend.lingering)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.timer = self.frontend.loop.call_later(LINGER_S, self._linger_expired)

    def _linger_expired(self) -> None:
        self.timer = None
        if self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.timer = self.frontend.loop.call_later(LINGER_MAX_S - LINGER_S, self.transport.abort)
        else:
            self.transport.abort()

    def _finish(self) -> None:
        self.finished, self.current, self.pipelined_bytes = True, None, 0
        self.pipelined.clear()
        self.frontend.move(self, None)

    def close(self) -> None:
        """Close a connection that holds no request."""
        if self.transport.get_write_buffer_size():  # its caller has not taken off the last answer yet
            self._linger()
        else:
            self._finish()
            self.transport.abort()

    def disconnected(self) -> bool:
        """Whether the caller has closed or ended its sending, read by the loop or not."""
        if self.finished or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

    def eof_received(self) -> bool:
        """The caller has closed, or cancelled.

        Its loss comes later where it has not taken off an answer yet: nothing must be sent on till then.
        """
        self._disconnect()
        return False

    def _disconnect(self) -> None:
        """Drop the current request, if it was not answered, and the pipelined ones."""
        request = self.current
        self._finish()
        if request is not None:
            self.frontend.driver.client_disconnected(request)

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller has gone."""
        self._disconnect()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.frontend.connection_closed(self)
        self.reader.close()
        del self.reader


class Frontend:
    """The listening socket and all callers' connections."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, max_connections: int,
        can_serve: Callable[[], bool],
    ) -> None:
        self.loop, self.clock, self.driver, self.max_connections = loop, clock, driver, max_connections
        self.can_serve = can_serve
        self.connections: set[Connection] = set()
        # Those that hold no whole request, the one that has been so longest first: nothing has come yet, part
        # of a request has come, or the last one is answered.
        self.silent: dict[Connection, None] = {}
        self.partial: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        self.lingering: dict[Connection, None] = {}  # those that have had their last answer, and linger
        self.server: asyncio.Server | None = None
        self.listener: socket.socket | None = None
        self.accepting: set[asyncio.Task[object]] = set()
        self.draining = False
        self.refusing_requests = False  # the process is about to end: what comes now is refused at once
        self.on_empty: Callable[[], None] | None = None

    async def listen(self, where: Address) -> Address:
        """Open the listener; the address it has."""
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        self.listener = socket.create_server(where, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.server = await self.loop.create_server(
            lambda: Connection(self), sock=self.listener, backlog=BACKLOG)
        self.loop.call_later(SWEEP_S, self._sweep)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def connection_opened(self, connection: Connection) -> None:
        """Take a new connection. Beyond the limit, the one least likely to be missed is evicted."""
        self.connections.add(connection)
        if len(self.connections) > self.max_connections and not self._evict():
            connection.reject(SERVICE_UNAVAILABLE)
            return
        self.move(connection, self.silent)

    def _evict(self) -> bool:
        """Close one that says nothing, or only half of it, before one that has been served.

        The first to go is one that has had its last answer. Guards against a flood of callers that are turned
        away: each lingers for a while, and together they would leave no descriptor for anything else.
        """
        answered = next((c for c in self.lingering if not c.transport.get_write_buffer_size()), None)
        if answered is not None:
            self.move(answered, None)
            answered.transport.abort()
            return True
        young = self.clock.now() - YOUNG_MS
        for group in (self.silent, self.partial):
            first = next(iter(group), None)
            if first is not None and first.since_ms < young:
                first.close()
                return True
        first = next(iter(self.idle), None) or next(iter(self.silent), None)
        if first is not None:
            first.close()
        return first is not None

    def move(self, connection: Connection, group: dict[Connection, None] | None) -> None:
        """Move the connection to a group, or to none."""
        if connection.group is not None:
            connection.group.pop(connection, None)
        connection.group = group
        if group is not None:
            group[connection] = None
            connection.since_ms = self.clock.now()

    def wait_for_request(self, connection: Connection) -> None:
        """Wait for the rest of a request, or for the next one: no whole request is held."""
        group = self.idle if connection.reader.idle else self.partial
        if connection.group is not group:
            self.move(connection, group)

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._notify_if_empty()

    def _notify_if_empty(self) -> None:
        if not self.connections and not self.accepting and self.on_empty is not None:
            self.on_empty()

    def serve(self, request: http1.Request, connection: Connection) -> None:
        """Answer what the proxy answers by itself; give the rest to the driver."""
        path = request.target.partition(b"?")[0]
        if path == READY and request.method == b"GET":
            connection.answer(200 if self.ready() else SERVICE_UNAVAILABLE)
        elif path != CALLS and not path.startswith(CALLS + b"/"):
            connection.answer(404)
        elif self.driver.validation_error(request) is not None:
            connection.reject(400)
        elif self.refusing_requests or self.driver.at_capacity():
            connection.answer(SERVICE_UNAVAILABLE)  # before it reaches the module: nothing has run
        elif not self.driver.accept_request(request, connection):
            connection.answer(409)

    def ready(self) -> bool:
        """Whether clients may send requests here."""
        return self.server is not None and not self.draining and self.can_serve()

    def drain(self) -> None:
        """Go out of service: every answer from now on closes its connection, and idle ones close at once."""
        self.draining = True
        for connection in list(self.idle):
            connection.close()

    def close_idle(self) -> None:
        """Close all connections that hold no request, those too on which none has come at all."""
        for connection in [*self.silent, *self.idle]:
            connection.close()

    def stop_listening(self, on_empty: Callable[[], None] | None = None) -> None:
        """Take no new connection, and tell when the last one is closed.

        Those that stand in the listener's line are taken first. Guards against resetting them, with requests
        that count as taken, where the loop is late and the listener's time comes before its events.
        """
        self.on_empty = on_empty
        if self.server is not None and self.listener is not None and self.server.is_serving():
            while (caller := self._accept_next(self.listener)) is not None:
                task = self.loop.create_task(
                    self.loop.connect_accepted_socket(lambda: Connection(self), caller))
                self.accepting.add(task)
                task.add_done_callback(self._accepted)
            self.server.close()
        self._notify_if_empty()

    @staticmethod
    def _accept_next(listener: socket.socket) -> socket.socket | None:
        try:
            caller, _ = listener.accept()
        except OSError:  # none is left, or no descriptor for it
            return None
        caller.setblocking(False)
        return caller

    def _accepted(self, task: asyncio.Task[object]) -> None:
        self.accepting.discard(task)
        self._notify_if_empty()

    def has_unwritten_data(self) -> bool:
        """Whether part of an answer has not left yet."""
        return any(c.transport.get_write_buffer_size() for c in self.connections)

    def _sweep(self) -> None:
        """Guards against callers that keep a descriptor and ask nothing, or never come to an end."""
        now, crowded = self.clock.now(), len(self.connections) * 2 > self.max_connections
        self._close_older(self.silent, now - FIRST_BYTE_TIMEOUT_MS)
        self._close_older(self.idle, now - (REDUCED_IDLE_TIMEOUT_MS if crowded else IDLE_TIMEOUT_MS))
        while self.partial and (first := next(iter(self.partial))).since_ms <= now - SLOW_MS:
            first.reject(408)
        self.loop.call_later(SWEEP_S, self._sweep)

    def _close_older(self, group: dict[Connection, None], than_ms: float) -> None:
        while group and (first := next(iter(group))).since_ms <= than_ms:
            first.close()
