"""A harness for the tests of honeywharf.net.

It runs a proxy between scripted backends, a scripted discovery service and clients, all on loopback sockets.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any, TypeVar

import uvloop

from honeywharf import codec, interface as api
from honeywharf.__main__ import Proxy
from honeywharf.net import config, http1
from honeywharf.net.calls import Call

T = TypeVar("T")
# How long a test waits for something that has to happen, before it fails.
WAIT_TIMEOUT_S = 20.0
# The settings of the proxy under test, in the format of its configuration file.
SETTINGS: dict[str, Any] = {
    "bounds": {
        "mostTries": 3, "cancel": True, "secondCopies": True, "probes": True, "retryAfter": True,
        "maxRetryAfterMs": 2000.0, "connIdleMs": 15000.0, "connectTimeoutMs": 200.0, "openCap": 100,
    },
    "contract": {"coldShare": 0.3, "warmAfterMs": 8500.0, "graceToAnswerMs": 20.0},
    "discovery": "push", "me": 0, "nInstances": 1, "familyInfo": {"passesDeadline": True},
    "profiles": [
        {"name": "read", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "repeatable"},
        {"name": "order", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "by_key", "group": "cell",
         "windowMs": 7500.0},
        {"name": "pay", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "once"},
    ],
    "report": {"fields": ["pending", "busy_reqs"], "how": "piggyback"},
    "tier": 0, "tiers": ["t"], "zone": "z", "zones": ["z", "y"],
}

# An HTTP request or response: its first line, its headers (names in lower case) and its body.
HttpMessage = tuple[bytes, dict[bytes, bytes], bytes]


def run_test(main: Coroutine[Any, Any, T]) -> T:
    """Run the coroutine of a whole test on uvloop, as in production, and fail if it takes too long."""
    return uvloop.run(asyncio.wait_for(main, 3 * WAIT_TIMEOUT_S))


async def with_timeout(awaitable: Awaitable[T]) -> T:
    """Await one step of a test that has to complete, and fail after `WAIT_TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, WAIT_TIMEOUT_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition that has to become true, and fail after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one HTTP request or response whose body, if any, has a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *header_lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in header_lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first_line, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


def make_response(status: int = 200, body: bytes = b"ok", *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Backend:
    """A backend that handles each request as the next entry of `scripted_responses` says.

    An entry is the bytes of a response, or None for no response at all, or "close" to close the connection
    without a response. Once no entry is left, `default_response` is used. Each response is delayed by
    `response_delay_s`.
    """

    response_delay_s = 0.0

    def __init__(self) -> None:
        self.requests: list[HttpMessage] = []
        # The monotonic time in seconds at which each request arrived.
        self.request_times: list[float] = []
        self.scripted_responses: list[bytes | str | None] = []
        self.default_response: bytes | str | None = make_response()
        self.connection_count = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.request_received = asyncio.Event()
        self.closed_connection_count = 0
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Backend:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.add(writer)
        try:
            while True:
                self.requests.append(await read_message(reader))
                self.request_times.append(time.monotonic())
                self.request_received.set()
                response = (
                    self.scripted_responses.pop(0) if self.scripted_responses else self.default_response
                )
                if self.response_delay_s:
                    await asyncio.sleep(self.response_delay_s)
                if response == "close":
                    break
                if isinstance(response, bytes):
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connection_count += 1
            self.writers.discard(writer)
            writer.close()

    def discovery_entry(
        self, name: str, zone: str = "z", lifecycle: str = "up", **changes: Any
    ) -> dict[str, Any]:
        """Build the endpoint entry of this backend with the module's function of the same name."""
        return discovery_entry(name, self.port, zone, lifecycle, **changes)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection, in place of ending it in order."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def discovery_entry(
    name: str, port: int, zone: str = "z", lifecycle: str = "up", **changes: Any
) -> dict[str, Any]:
    """Build an endpoint entry of a discovery response, as JSON; `changes` replaces or adds keys."""
    return {
        "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": zone, "machineType": "k", "cell": 1,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0, **changes,
    }


class Discovery:
    """A discovery service that holds each poll until a response is published, and records request lines."""

    def __init__(self) -> None:
        self.request_lines: list[bytes] = []
        self.request_received = asyncio.Event()
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.connections: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Discovery:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, generation: int, *entries: dict[str, Any], reset: bool = False) -> None:
        """Respond to the current or next poll with changes, or with the full list if `reset` is set."""
        body = json.dumps({"generation": generation, "reset": reset, "instances": entries}).encode()
        self.responses.put_nowait(make_response(200, body))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request_line, _, _ = await read_message(reader)
                self.request_lines.append(request_line)
                self.request_received.set()
                writer.write(await self._next_response())
        self.connections.discard(writer)
        writer.close()

    async def _next_response(self) -> bytes:
        return await self.responses.get()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


def make_config(discovery_port: int, entries: list[dict[str, Any]], **changes: Any) -> config.Config:
    """Build a proxy's configuration, with `entries` as its initial, cached endpoint list.

    `changes` overrides settings; nested groups of settings are merged. The keys `sockets` and `memory_bytes`
    are not settings: they set what the configuration allows.
    """
    max_sockets = changes.pop("sockets", 1024)
    max_memory_bytes = changes.pop("memory_bytes", 192_000_000)
    settings = {
        key: {**value, **changes.get(key, {})} if isinstance(value, dict) else changes.get(key, value)
        for key, value in SETTINGS.items()
    }
    return config.Config(
        name="n",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", discovery_port),
        seed=7,
        max_sockets=max_sockets,
        max_memory_bytes=max_memory_bytes,
        cached_list={"generation": 1, "reset": True, "instances": list(entries)},
        settings=codec.decode_settings(settings),
        configured_report_names=tuple(settings["report"]["fields"]),
    )


class ProxyHarness:
    """A proxy and its discovery service; records the events and actions of the proxy's balancer."""

    def __init__(self, proxy_config: config.Config, discovery: Discovery) -> None:
        self.proxy = Proxy(proxy_config, asyncio.get_running_loop())
        self.discovery = discovery
        self.events: list[api.Event] = []
        self.actions: list[api.Action] = []
        self.port = 0
        self.task: asyncio.Task[None] | None = None
        handle = self.proxy.driver.balancer.handle

        def handle_and_record(now_ms: float, event: api.Event) -> list[api.Action]:
            self.events.append(event)
            actions = handle(now_ms, event)
            self.actions += actions
            return actions

        self.proxy.driver.balancer.handle = handle_and_record  # type: ignore[method-assign]

    async def start(self) -> None:
        self.task = asyncio.create_task(self.proxy.run())
        await wait_until(lambda: self.proxy.frontend.acceptor is not None)
        acceptor = self.proxy.frontend.acceptor
        assert acceptor is not None
        self.port = acceptor.listener.getsockname()[1]

    def ended_attempts(self) -> list[api.AttemptEnded]:
        return [event for event in self.events if isinstance(event, api.AttemptEnded)]

    async def wait_for_ended_attempt(self, count: int = 1) -> api.AttemptEnded:
        """Wait until `count` attempts have ended, and return the last of these."""
        await wait_until(lambda: len(self.ended_attempts()) >= count)
        return self.ended_attempts()[count - 1]


class GatedLoop:
    """Wraps an event loop to delay connections: holds back new ones until `connections_allowed` is set."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.connections_allowed = loop, asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        await self.connections_allowed.wait()
        return await self.loop.create_connection(*args)


class RecordingCall(Call):
    """A call that records its outcomes, and sets `finished` when it ends."""

    __slots__ = ("finished", "outcomes", "response_body")

    def __init__(self, body: bytes, endpoint: str = "b") -> None:
        super().__init__(endpoint, b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n" % len(body), body, 1e15)
        self.outcomes: list[api.Outcome] = []
        self.finished = asyncio.Event()

    def complete(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        self.outcomes.append(outcome)
        self.response_body = response.body if response is not None else b""
        self.finished.set()


def received_lists(harness: ProxyHarness) -> list[api.EndpointsListed]:
    """Return the list events that the balancer received, except those that only confirm the current list."""
    return [event for event in harness.events if isinstance(event, api.EndpointsListed)
            and (event.endpoints or event.kind is not api.ListKind.CHANGES)]


async def wait_for_list(harness: ProxyHarness, count: int) -> api.EndpointsListed:
    """Wait until `received_lists` has `count` events, and return the last of these."""
    await wait_until(lambda: len(received_lists(harness)) >= count)
    return received_lists(harness)[count - 1]


@asynccontextmanager
async def started_proxy(entries: list[dict[str, Any]], **changes: Any) -> AsyncIterator[ProxyHarness]:
    """Run a proxy with `entries` as its initial list; discovery holds its first poll until `publish`."""
    discovery = await Discovery().start()
    harness = ProxyHarness(make_config(discovery.port, entries, **changes), discovery)
    await harness.start()
    try:
        yield harness
    finally:
        assert harness.task is not None
        harness.task.cancel()
        harness.proxy.frontend.stop_listening()
        for connection in list(harness.proxy.frontend.connections):
            connection.transport.abort()
        await discovery.stop()
        with suppress(asyncio.CancelledError):
            await harness.task


@asynccontextmanager
async def synced_proxy(entries: list[dict[str, Any]], **changes: Any) -> AsyncIterator[ProxyHarness]:
    """Run a proxy with `entries` as its initial list, which the response to its first poll confirmed."""
    async with started_proxy(entries, **changes) as harness:
        harness.discovery.publish(1)
        await wait_until(lambda: harness.proxy.discovery_client.initialized)
        yield harness


class Client:
    """A client with one connection to the proxy."""

    request_count = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(
        self, class_name: str = "read", body: bytes = b"", time_left: str = "4000m", *headers: str
    ) -> str:
        """Write one request and return its id; with an empty `time_left`, it has no X-Time-Left header."""
        Client.request_count += 1
        request_id = f"id{Client.request_count:08x}"
        method = "GET" if class_name == "read" else "POST"
        lines = [
            f"{method} /api?q=1 HTTP/1.1", "Host: app.svc", f"X-Correlation-Id: {request_id}",
            f"X-Service-Class: {class_name}", *([f"X-Time-Left: {time_left}"] if time_left else []),
            *headers,
        ]
        if class_name == "order":
            lines.append(f"Idempotency-Key: key-{request_id}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return request_id

    async def read_response(self) -> HttpMessage:
        return await with_timeout(read_message(self.reader))

    async def read_status(self) -> int:
        return int((await self.read_response())[0].split()[1])

    async def round_trip(self, raw: bytes) -> int:
        """Write raw bytes and return the status of the response."""
        self.writer.write(raw)
        return await self.read_status()

    async def reaches_eof(self) -> bool:
        """Return whether the proxy closes the connection without sending any more bytes."""
        return await with_timeout(self.reader.read()) == b""
