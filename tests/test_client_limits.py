"""What one client can take: memory and time, whatever it sends and however it cuts what it sends."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc
import weakref
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest

from honeywharf.net import (
    arrival_times,
    client_connection,
    frontend,
    http1,
    message_reader,
    request_reader,
    response_reader,
)
from tests.proxy_harness import (
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    ProxyHarness,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)
from tests.proxy_process import ProxyProcess

CHUNKED_REQUEST_HEAD = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def memory_held_by(reader: message_reader.MessageReader, head: bytes, body: bytes, part_size: int) -> int:
    """Return how many bytes are allocated once the reader has the body in parts, without its end."""
    raw = head + body
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for i in range(0, len(raw), part_size):
            if isinstance(reader, request_reader.RequestReader):
                reader.receive(raw[i:i + part_size])
                while reader.has_input:
                    assert reader.next_request() is None
            elif isinstance(reader, response_reader.ResponseReader):
                assert reader.feed(raw[i:i + part_size]) is None
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("part_size", [1, 4096, 1_000_000])
@pytest.mark.parametrize("kind", ["request", "response"])
def test_a_body_in_small_chunks_holds_no_more_than_twice_its_bytes(kind: str, part_size: int) -> None:
    """Guards against a process killed for memory by clients that stop in a body of small chunks."""
    body_bytes = request_reader.MAX_REQUEST_BODY_BYTES - 2
    reader: message_reader.MessageReader = (
        request_reader.RequestReader(lambda: None) if kind == "request"
        else response_reader.ResponseReader())
    head = CHUNKED_REQUEST_HEAD if kind == "request" else CHUNKED_RESPONSE_HEAD
    chunks = b"2\r\nab\r\n" * (body_bytes // 2)
    assert memory_held_by(reader, head, chunks, part_size) < 2 * body_bytes
    assert not reader.idle


@pytest.fixture
def built_requests(monkeypatch: pytest.MonkeyPatch) -> list[http1.Request]:
    """Record the requests that the readers build."""
    built: list[http1.Request] = []

    class RecordedRequest(http1.Request):
        def __init__(self) -> None:
            super().__init__()
            built.append(self)

    monkeypatch.setattr(request_reader, "Request", RecordedRequest)
    return built


SMALL_REQUESTS = b"GET /none HTTP/1.1\r\n\r\n" * 3000


def test_requests_of_a_client_that_sends_many_at_once_and_goes_are_not_built(
    built_requests: list[http1.Request],
) -> None:
    """Guards against other clients that wait while the proxy parses what nobody waits for."""
    async def main() -> None:
        async with synced_proxy([]) as harness:
            with socket.create_connection(("127.0.0.1", harness.port)) as client:
                client.sendall(SMALL_REQUESTS[:20_000])  # the operating system holds all of it
            await wait_until(lambda: bool(built_requests) and not harness.proxy.frontend.connections)
            assert len(built_requests) <= 2
    run_test(main())


def test_requests_that_follow_one_that_is_served_are_not_built_before_their_turn(
    built_requests: list[http1.Request],
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            client.writer.write(SMALL_REQUESTS)
            await with_timeout(backend.request_received.wait())
            (connection,) = harness.proxy.frontend.connections
            await wait_until(lambda: len(connection.reader.input) == len(SMALL_REQUESTS))
            assert len(built_requests) == 1
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
            for _ in range(3000):
                assert await client.read_status() == 404
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("raw", [
    b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nX-Time-Left: soon\r\n\r\n", b"\xff" * 1000,
    b"GET / HTTP/1.1\r\nX-Endless: " + b"a" * 20_000,
])
@pytest.mark.parametrize("kind", ["request", "response"])
def test_a_malformed_message_is_freed_without_the_garbage_collector(kind: str, raw: bytes) -> None:
    """Guards against memory that grows while clients send unsound requests at full speed."""
    reader: message_reader.MessageReader = (
        request_reader.RequestReader(lambda: None) if kind == "request"
        else response_reader.ResponseReader())
    gc.collect()
    gc.disable()
    try:
        if isinstance(reader, request_reader.RequestReader):
            reader.receive(raw)
            assert reader.next_request() is None
            assert reader.error is not None
        elif isinstance(reader, response_reader.ResponseReader):
            with pytest.raises(http1.MalformedMessageError):
                reader.feed(raw)
        reader.close()
        reference = weakref.ref(reader)
        del reader
        assert reference() is None
    finally:
        gc.enable()


PAY_HEAD = (
    b"POST /api HTTP/1.1\r\nX-Correlation-Id: %d\r\nX-Service-Class: pay\r\nX-Time-Left: 2000m\r\n")


@pytest.mark.parametrize("sent", [
    PAY_HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 65_000,
    PAY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 32_000,
    PAY_HEAD + b"Host:a\r\n" * 1900,
], ids=["half a body", "small chunks", "short fields"])
def test_hundreds_of_incomplete_requests_keep_the_memory_limit(tmp_path: Path, sent: bytes) -> None:
    """Guards against a process killed for memory by many clients at once, each within its own limits."""
    limits = {"cores": 1.0, "memory_mb": 48, "sockets": 1024}
    with ProxyProcess(tmp_path, limits=limits) as proxy, ExitStack() as stack:
        clients = [stack.enter_context(proxy.connect()) for _ in range(450)]
        for number, client in enumerate(clients):
            client.setblocking(False)
            with suppress(BlockingIOError):
                client.send(sent % number)
        for client in clients:  # each gets an error, or at least a close
            client.settimeout(WAIT_TIMEOUT_S)
            with suppress(ConnectionError):
                assert client.recv(12) in (b"HTTP/1.1 431", b"HTTP/1.1 503", b"HTTP/1.1 408", b"")
        assert proxy.peak_memory_bytes() <= 48_000_000
        assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")


def test_a_request_is_refused_once_the_requests_being_served_hold_all_of_the_memory() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            memory = harness.proxy.frontend.client_memory
            memory.limit_bytes = 150_000
            first, second, third = [await Client.connect(harness.port) for _ in range(3)]
            first.send("pay", b"x" * 60_000)
            await with_timeout(backend.request_received.wait())
            second.send("pay", b"x" * 60_000)
            assert await second.read_status() == 503
            third.send("pay")  # little memory is needed for this one
            await wait_until(lambda: len(backend.requests) == 2)
            for writer in list(backend.writers):
                writer.write(make_response())
            assert [await client.read_status() for client in (first, third)] == [200, 200]
            assert len(backend.requests) == 2
            await wait_until(lambda: memory.used_bytes == 0)
        await backend.stop()
    run_test(main())


def test_what_clients_hold_is_released_when_they_leave() -> None:
    """Guards against requests kept until their attempts end, after their clients have left."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("pay", b"x" * 60_000)
            await with_timeout(backend.request_received.wait())
            (pending,) = harness.proxy.driver.requests.values()
            client.writer.transport.abort()
            await wait_until(lambda: pending.finished)
            assert (pending.request.body, pending.head) == (b"", b"")
            assert [a.body for a in pending.attempts if a is not None] == [b""]
            await wait_until(lambda: harness.proxy.frontend.client_memory.used_bytes == 0)
        await backend.stop()
    run_test(main())


def test_a_request_that_arrives_in_many_parts_keeps_one_arrival_time() -> None:
    """Guards against clients that write slowly and make the proxy keep a time for each part."""
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(PAY_HEAD % 1 + b"Content-Length: 20\r\n\r\n")
            await wait_until(lambda: len(harness.proxy.frontend.receiving) == 1)
            (connection,) = harness.proxy.frontend.receiving
            for size in range(1, 21):
                client.writer.write(b"x")
                await asyncio.sleep(arrival_times.RESOLUTION_MS / 1000.0 / 5)
                await wait_until(lambda: len(connection.reader.body_buffer) in (size, 0))  # noqa: B023
                assert len(connection.arrival_times._arrivals) == 1
            assert await client.read_status() == 200
        await backend.stop()
    run_test(main())


def test_memory_is_freed_of_a_connection_that_has_just_broken() -> None:
    """Guards against an event loop that ends in rejecting the same connection for ever."""
    async def main() -> None:
        async with synced_proxy([]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(PAY_HEAD % 1 + b"Content-Length: 20\r\n\r\nx")
            await wait_until(lambda: len(harness.proxy.frontend.receiving) == 1)
            (connection,) = harness.proxy.frontend.receiving
            await wait_until(lambda: connection.held_bytes > 0)
            connection.transport.abort()  # as after a failed write; the loop reports it in its next iteration
            harness.proxy.frontend.client_memory.limit_bytes = 0
            harness.proxy.frontend.free_memory()
            assert harness.proxy.frontend.receiving == {}
            assert harness.proxy.frontend.client_memory.used_bytes == 0
            await wait_until(lambda: not harness.proxy.frontend.connections)
            assert harness.proxy.frontend.client_memory.used_bytes == 0
    run_test(main())


async def leave_response_unread(
    harness: ProxyHarness, client: socket.socket,
) -> client_connection.ClientConnection:
    """Have the only client request a long response, most of which stays in the proxy's write buffer."""
    await wait_until(lambda: len(harness.proxy.frontend.connections) == 1)
    (connection,) = harness.proxy.frontend.connections
    server_socket = connection.transport.get_extra_info("socket")
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.sendall(PAY_HEAD % 1 + b"Content-Length: 0\r\n\r\n")
    await wait_until(lambda: connection.has_unwritten_data)
    return connection


def test_a_client_that_leaves_its_response_unread_is_closed_if_memory_is_scarce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "MIN_UNREAD_AGE_MS", 0.0)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, b"x" * 1_000_000)
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            harness.proxy.frontend.client_memory.limit_bytes = 100_000
            with socket.create_connection(("127.0.0.1", harness.port)) as unread:
                connection = await leave_response_unread(harness, unread)
                backend.default_response = make_response()
                client = await Client.connect(harness.port)
                client.send("pay", b"x" * 10)
                assert await client.read_status() == 200
                assert connection.closing
        await backend.stop()
    run_test(main())


def test_a_client_that_half_closes_and_never_reads_its_response_does_not_hold_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients that take up all connections, each until it goes away by itself."""
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client_connection, "UNWRITTEN_LINGER_TIMEOUT_S", 0.05)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, b"x" * 1_000_000)
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            with socket.create_connection(("127.0.0.1", harness.port)) as client:
                await leave_response_unread(harness, client)
                client.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not harness.proxy.frontend.connections)
                assert harness.proxy.frontend.client_memory.used_bytes == 0
        await backend.stop()
    run_test(main())
