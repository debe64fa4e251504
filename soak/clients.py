"""Proper clients of the proxy, and the record of each of their requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from soak.http import read_message
from soak.scenario import Scenario

GRACE_S = 0.5  # an answer up to this long after the client's time only earns nothing
LEAVING_SHARE = 0.03


class End(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    ANSWERED = "answered"
    LEFT = "left"  # the client went away before the answer
    SHUT = "shut"  # a new connection was closed without an answer
    UNREACHABLE = "unreachable"  # no connection came up
    SILENT = "silent"  # no answer by half a second after the client's time


@dataclass
class Request:
    """A request and what became of it; times are seconds since the start of the scenario."""

    request_id: str
    class_name: str
    sent_s: float
    time_left_s: float
    end: End = End.OPEN
    ended_s: float = 0.0
    status: int = 0
    left_at: float = 0.0  # on the monotonic clock, if the client has left


class Connection:
    """A connection to the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.is_new = True


class ProperClients:
    """Clients that send requests at a steady rate, each one at a time on a connection that it keeps."""

    def __init__(self, scenario: Scenario, host: str, port: int, now_s: Callable[[], float]) -> None:
        self.scenario, self.host, self.port, self.now_s = scenario, host, port, now_s
        self.random = random.Random(scenario.seed)
        self.requests: list[Request] = []
        self.idle: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def send_until(self, end_s: float) -> None:
        """Send requests until a time, and wait for the end of the last one."""
        while self.now_s() < end_s:
            task = asyncio.create_task(self._send(self._new_request()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.scenario.rate_per_s))
        await asyncio.gather(*self.tasks)

    def close(self) -> None:
        """Close the connections that are kept."""
        for connection in self.idle:
            connection.writer.transport.abort()

    def _new_request(self) -> Request:
        time_left_s = self.scenario.deadline_ms / 1000.0 * self.random.uniform(0.4, 1.0)
        request = Request(
            f"p{self.scenario.seed:x}-{len(self.requests):06x}",
            self.random.choice(("list", "offer", "pledge")), self.now_s(), time_left_s)
        self.requests.append(request)
        return request

    async def _send(self, request: Request) -> None:
        leaves_after_s = self.random.uniform(0.0, 0.02) if self.random.random() < LEAVING_SHARE else None
        try:
            async with asyncio.timeout(request.time_left_s + GRACE_S):
                connection = await self._take_connection(request)
                while connection is not None and not await self._exchange(
                        request, connection, leaves_after_s):
                    # The close of a resting connection has crossed the request: it is sent once more.
                    connection = await self._connect(request)
        except TimeoutError:
            request.end = End.SILENT
        request.ended_s = self.now_s()

    async def _take_connection(self, request: Request) -> Connection | None:
        while self.idle:
            connection = self.idle.pop(self.random.randrange(len(self.idle)))
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.transport.abort()
        return await self._connect(request)

    async def _connect(self, request: Request) -> Connection | None:
        try:
            return Connection(*await asyncio.open_connection(self.host, self.port))
        except OSError:
            request.end = End.UNREACHABLE
            return None

    async def _exchange(
        self, request: Request, connection: Connection, leaves_after_s: float | None,
    ) -> bool:
        """Send the request; return whether it has ended, and need not be sent once more."""
        is_new, connection.is_new = connection.is_new, False
        try:
            connection.writer.write(self._format(request))
            if leaves_after_s is not None:
                await asyncio.sleep(leaves_after_s)
                request.left_at = asyncio.get_running_loop().time()
                connection.writer.transport.abort()
                request.end = End.LEFT
                return True
            message = await read_message(connection.reader)
        except (OSError, asyncio.IncompleteReadError):
            connection.writer.transport.abort()
            request.end = End.SHUT
            return is_new
        except BaseException:
            connection.writer.transport.abort()
            raise
        request.end, request.status = End.ANSWERED, int(message.first_line.split()[1])
        if message.headers.get("connection", "") == "close":
            connection.writer.transport.abort()
        else:
            self.idle.append(connection)
        return True

    def _format(self, request: Request) -> bytes:
        left_ms = max(1.0, (request.sent_s + request.time_left_s - self.now_s()) * 1000.0)
        method = "GET" if request.class_name == "list" else "POST"
        lines = [
            f"{method} /api?q=1 HTTP/1.1", "Host: app.svc", f"X-Correlation-Id: {request.request_id}",
            f"X-Service-Class: {request.class_name}", f"X-Time-Left: {left_ms:.0f}m"]
        if request.class_name == "offer":
            lines.append(f"Idempotency-Key: key-{request.request_id}")
        body = b"" if method == "GET" else b"x" * self.random.choice((0, 200, 200, 8000))
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
