"""Connections from clients over real sockets: the proxy's own responses, bad input, limits and draining.

`Frontend` accepts these connections and holds them.
"""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

import pytest

from honeywharf import interface as api
from honeywharf.net import client_connection, frontend, http1, request_reader
from tests.proxy_harness import (
    Backend,
    Client,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)

READ_HEADERS = b"X-Correlation-Id: abc\r\nX-Service-Class: read\r\nX-Time-Left: 900m\r\n"
ORDER_HEADERS, PAY_HEADERS = READ_HEADERS.replace(b"read", b"order"), READ_HEADERS.replace(b"read", b"pay")


@pytest.mark.parametrize(("raw", "status"), [
    (b"nonsense\r\n\r\n", 400),
    # No class of this name is configured.
    (b"GET /api HTTP/1.1\r\n" + READ_HEADERS.replace(b"read", b"unheard") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + READ_HEADERS.replace(b"X-Time-Left: 900m\r\n", b"") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + READ_HEADERS.replace(b"900m", b"later") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + READ_HEADERS.replace(b"X-Correlation-Id: abc\r\n", b"") + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + ORDER_HEADERS + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + READ_HEADERS + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\nContent-Length: 1\r\n" + READ_HEADERS + b"\r\nx", 400),
    (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + READ_HEADERS + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + ORDER_HEADERS + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n" + PAY_HEADERS
     + b"\r\n0\r\n\r\nPOST /api HTTP/1.1\r\nContent-Length: 0\r\n" + PAY_HEADERS + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n" + READ_HEADERS + b"\r\n", 413),
    (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 20000 + b"\r\n\r\n", 431),
])
def test_the_proxy_answers_bad_input_itself_and_sends_nothing_to_backends(raw: bytes, status: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            assert await client.round_trip(raw) == status
            assert await client.reaches_eof()
            assert backend.requests == []
            other = await Client.connect(harness.port)  # another client is still served
            other.send()
            assert await other.read_status() == 200
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("path", [b"/", b"/apis", b"/health", b"/health/ready/x", b"*"])
def test_an_unknown_path_gets_a_404_and_the_connection_stays_open(path: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            assert await client.round_trip(
                b"OPTIONS " + path + b" HTTP/1.1\r\n" + READ_HEADERS + b"\r\n") == 404
            client.send()
            assert await client.read_status() == 200
        await backend.stop()
    run_test(main())


def test_requests_on_one_connection_are_answered_in_order() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [
            make_response(200, b"one"),
            make_response(200, b"two"),
            make_response(200, b"three"),
        ]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            request_ids = [client.send() for _ in range(3)]
            assert [(await client.read_response())[2] for _ in request_ids] == [b"one", b"two", b"three"]
            assert [r[1][b"x-correlation-id"].decode() for r in backend.requests] == request_ids
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("class_name", ["order", "pay"])
def test_a_request_that_offers_an_upgrade_reaches_the_backend_with_its_body(class_name: str) -> None:
    """Guards against requests that ran without their body because they offered an upgrade."""
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            for body in (b"amount=42.50", b"x" * request_reader.MAX_REQUEST_BODY_BYTES):
                client.send(class_name, body, "4000m", "Connection: Upgrade", "Upgrade: h2c")
                assert await client.read_status() == 200
                client.send(class_name, body)
                assert await client.read_status() == 200
            bodies = [body for _, _, body in backend.requests]
            assert bodies[0] == bodies[1] == b"amount=42.50"
            assert bodies[2] == bodies[3] == b"x" * request_reader.MAX_REQUEST_BODY_BYTES
            assert not any(b"upgrade" in headers for _, headers, _ in backend.requests)
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize(("request_count", "body_bytes"), [
    (9, 0), (400, 0), (4, 30_000), (3, request_reader.MAX_REQUEST_BODY_BYTES),
])
def test_requests_sent_at_once_run_one_at_a_time_and_each_gets_its_response(
    request_count: int, body_bytes: int,
) -> None:
    """Guards against requests that are parsed before their turn, and against one 400 for many of them."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client, other = await Client.connect(harness.port), await Client.connect(harness.port)
            request_ids = [client.send("order", b"x" * body_bytes) for _ in range(request_count)]
            await with_timeout(backend.request_received.wait())
            (connection,) = [c for c in harness.proxy.frontend.connections if c.current_request is not None]
            await wait_until(lambda: len(connection.reader.input) > (request_count - 1) * body_bytes)
            assert len(backend.requests) == len(harness.proxy.driver.requests) == 1
            backend.default_response = make_response()
            other.send()
            assert await other.read_status() == 200
            for writer in list(backend.writers):
                writer.write(make_response())
            assert [await client.read_status() for _ in request_ids] == [200] * request_count
            received_ids = [headers[b"x-correlation-id"].decode() for _, headers, _ in backend.requests]
            assert [i for i in received_ids if i in request_ids] == request_ids
            assert harness.proxy.driver.open_request_count == 0
        await backend.stop()
    run_test(main())


def test_input_beyond_the_limit_is_dropped_and_the_requests_before_it_are_served() -> None:
    """Guards against a client that fills the memory with requests while its first one is served."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            request_ids = [client.send("pay", b"x" * 60_000) for _ in range(50)]
            await with_timeout(backend.request_received.wait())
            (connection,) = harness.proxy.frontend.connections
            await with_timeout(client.writer.drain())  # the proxy reads all of it
            await wait_until(lambda: connection.has_dropped_input)
            assert len(connection.reader.input) <= client_connection.MAX_HELD_INPUT_BYTES
            backend.default_response = make_response()
            for writer in list(backend.writers):
                writer.write(make_response())
            assert [await client.read_status() for _ in range(4)] == [200, 200, 200, 503]
            assert await client.reaches_eof()
            received_ids = [headers[b"x-correlation-id"].decode() for _, headers, _ in backend.requests]
            assert received_ids == request_ids[:3]
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("body_bytes", [0, 30_000])
def test_the_time_that_a_request_waits_behind_the_one_before_it_counts(body_bytes: int) -> None:
    """Guards against a backend that is told more time than the client has left."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            sent_s = time.monotonic()
            for _ in range(2):
                client.send("order", b"x" * body_bytes)
            await with_timeout(backend.request_received.wait())
            await asyncio.sleep(0.5)
            backend.default_response = make_response()
            for writer in list(backend.writers):
                writer.write(make_response())
            assert [await client.read_status() for _ in range(2)] == [200, 200]
            left_ms = http1.parse_duration_ms(backend.requests[1][1][b"x-time-left"])
            waited_ms = (backend.request_times[1] - sent_s) * 1000.0
            slack_ms = 150.0  # of the rule on the time that a backend is told
            assert left_ms is not None
            assert left_ms <= 4000.0 - waited_ms + slack_ms
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("raw", [
    b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n" + READ_HEADERS + b"\r\n" + b"x" * 4_000_000,
    b"GET /api HTTP/1.1\r\n" + b"X-Pad: pppp\r\n" * 400_000,
    b"\x00\xff" * 2_000_000,
])
def test_a_client_that_continues_sending_still_gets_the_response(raw: bytes) -> None:
    """The proxy reads and discards the input for a while.

    Otherwise closing the socket with unread input would reset the connection, and the client would lose the
    response.
    """
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(raw)
            assert await client.read_status() >= 400
            with suppress(ConnectionError):
                assert await client.reaches_eof()
            await wait_until(lambda: not harness.proxy.frontend.connections)
            assert backend.requests == []
        await backend.stop()
    run_test(main())


def test_the_last_response_on_a_connection_arrives_even_if_input_follows_the_request() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("read", b"", "4000m", "Connection: close")
            client.writer.write(b"x" * 100_000)
            assert await client.read_status() == 200
            await wait_until(lambda: not harness.proxy.frontend.connections)
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("sent", [b"", b"POST /api HTTP/1.1\r\nContent-Le", b"GET /none HTTP/1.1\r\n\r\n"])
def test_a_connection_without_an_open_request_times_out(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FIRST_BYTE_TIMEOUT_MS", "IDLE_TIMEOUT_MS", "REQUEST_TIMEOUT_MS"):
        monkeypatch.setattr(frontend, name, 50.0)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)

    async def main() -> None:
        async with synced_proxy([]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(sent)
            await with_timeout(client.reader.read())  # reads until the proxy closes the connection
            frontend = harness.proxy.frontend
            await wait_until(lambda: not frontend.connections)
            assert not any((frontend.awaiting_first_byte, frontend.receiving, frontend.idle))
    run_test(main())


def test_an_excessive_time_left_is_limited_to_the_deadline_of_the_class() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("read", b"", "999999999999m")
            assert await client.read_status() == 200
            (event,) = [e for e in harness.events if isinstance(e, api.RequestArrived)]
            assert event.remaining_ms <= 5000.0
            time_left_ms = http1.parse_duration_ms(backend.requests[0][1][b"x-time-left"])
            assert time_left_ms is not None
            assert time_left_ms <= 5000.0
        await backend.stop()
    run_test(main())


def test_a_valid_request_is_answered_before_the_malformed_one_that_follows_it() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            client.writer.write(b"nonsense\r\n\r\n")
            assert await client.read_status() == 200
            assert await client.read_status() == 400
            assert await client.reaches_eof()
        await backend.stop()
    run_test(main())


def test_a_client_that_expects_100_continue_gets_it() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(
                b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
                + READ_HEADERS.replace(b"read", b"pay") + b"\r\n")
            assert await client.read_status() == 100
            client.writer.write(b"ok")
            assert await client.read_status() == 200
            assert backend.requests[0][2] == b"ok"
            assert b"expect" not in backend.requests[0][1]
        await backend.stop()
    run_test(main())


def test_a_request_above_the_limit_on_open_requests_is_rejected_at_once() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")], bounds={"openCap": 1}) as harness:
            first, second = await Client.connect(harness.port), await Client.connect(harness.port)
            first.send()
            await with_timeout(backend.request_received.wait())
            second.send()
            assert await second.read_status() == 503
            assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


def test_a_second_request_with_the_id_of_an_open_one_gets_a_409() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            first, second = await Client.connect(harness.port), await Client.connect(harness.port)
            first.writer.write(b"GET /api HTTP/1.1\r\n" + READ_HEADERS + b"\r\n")
            await with_timeout(backend.request_received.wait())
            assert await second.round_trip(b"GET /api HTTP/1.1\r\n" + READ_HEADERS + b"\r\n") == 409
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await first.read_status() == 200
        await backend.stop()
    run_test(main())


def test_at_the_connection_limit_clients_without_a_request_are_evicted_before_new_ones_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients that have sent nothing, or only part of their first request, are evicted.

    Once all connections have an open request, a new client is rejected.
    """
    monkeypatch.setattr(frontend, "MIN_EVICTION_AGE_MS", 0.0)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            harness.proxy.frontend.max_connections = 3
            idle, busy = await Client.connect(harness.port), await Client.connect(harness.port)
            idle.send()
            assert await idle.read_status() == 200
            backend.default_response = None
            backend.request_received.clear()
            busy.send()
            await with_timeout(backend.request_received.wait())
            silent = await Client.connect(harness.port)
            await wait_until(lambda: len(harness.proxy.frontend.awaiting_first_byte) == 1)
            incomplete = await Client.connect(harness.port)
            assert await silent.reaches_eof()
            incomplete.writer.write(b"GET /api HT")
            await wait_until(lambda: len(harness.proxy.frontend.receiving) == 1)
            replacement = await Client.connect(harness.port)
            assert await incomplete.reaches_eof()
            for client in (idle, replacement):
                backend.request_received.clear()
                client.send()
                await with_timeout(backend.request_received.wait())
            rejected = await Client.connect(harness.port)  # all other connections have an open request now
            assert await rejected.read_status() == 503
            assert await rejected.reaches_eof()
            assert len(backend.requests) == 4
            for writer in list(backend.writers):
                writer.write(make_response())
            for client in (busy, idle, replacement):
                assert await client.read_status() == 200
        await backend.stop()
    run_test(main())


def test_many_rejected_clients_stay_within_the_connection_limit_and_all_get_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lingering connections are evicted first, because many of them would use up all file descriptors."""
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 60.0)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            frontend = harness.proxy.frontend
            frontend.max_connections = 8
            busy = await Client.connect(harness.port)
            backend.default_response = None
            busy.send()
            await with_timeout(backend.request_received.wait())
            rejected_clients = []
            for _ in range(40):
                rejected_clients.append(await Client.connect(harness.port))  # the client keeps it open
                assert await rejected_clients[-1].round_trip(b"nonsense\r\n\r\n") == 400
                assert len(frontend.connections) <= frontend.max_connections
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await busy.read_status() == 200
            assert await busy.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        await backend.stop()
    run_test(main())


def test_an_incomplete_request_times_out_with_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "REQUEST_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            idle, slow = await Client.connect(harness.port), await Client.connect(harness.port)
            idle.send()
            assert await idle.read_status() == 200
            assert await slow.round_trip(b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf") == 408
            assert await slow.reaches_eof()
            idle.send()  # the idle connection stays open
            assert await idle.read_status() == 200
        await backend.stop()
    run_test(main())


def test_draining_serves_the_open_requests_and_closes_idle_connections() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            busy, idle = await Client.connect(harness.port), await Client.connect(harness.port)
            assert await idle.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
            busy.send()
            await with_timeout(backend.request_received.wait())
            harness.proxy.drain()
            assert await idle.reaches_eof()
            # For a moment, the proxy still accepts new connections.
            late = await Client.connect(harness.port)
            assert await late.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            assert await late.reaches_eof()
            late = await Client.connect(harness.port)
            late.send()
            await wait_until(lambda: len(backend.requests) == 2)
            for writer in list(backend.writers):
                writer.write(make_response(200, b"done"))
            for client in (busy, late):
                status_line, headers, body = await client.read_response()
                assert (status_line.split()[1], headers[b"connection"], body) == (b"200", b"close", b"done")
                assert await client.reaches_eof()
            assert harness.task is not None
            await with_timeout(asyncio.shield(harness.task))  # ends once all connections are closed
        await backend.stop()
    run_test(main())


def test_a_client_in_the_accept_queue_is_served_when_the_listener_closes() -> None:
    """The client connects while the event loop is delayed, before the timer that closes the listener runs.

    Unless the proxy first accepts the queued connections, closing the listener resets them. To reproduce the
    delay of the event loop in every run, the test connects and closes the listener in one loop iteration.
    """
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            harness.proxy.drain()
            with socket.create_connection(("127.0.0.1", harness.port)) as late:
                late.sendall(
                    b"GET /api HTTP/1.1\r\nX-Correlation-Id: late\r\nX-Service-Class: read\r\n"
                    b"X-Time-Left: 4000m\r\n\r\n")
                harness.proxy._close_listener()
                late.setblocking(False)
                response = await with_timeout(asyncio.get_running_loop().sock_recv(late, 4096))
            assert response.startswith(b"HTTP/1.1 200 ")
            assert harness.task is not None
            await with_timeout(asyncio.shield(harness.task))
            assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


def test_before_the_process_ends_new_requests_are_rejected_and_responses_are_fully_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When the proxy is about to end, one client has part of its response, and another sends a request."""
    monkeypatch.setattr("honeywharf.__main__.MAX_FLUSH_MS", 1e6)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, b"x" * 900_000 + b"end")
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            loop = asyncio.get_running_loop()
            late = await Client.connect(harness.port)
            late.writer.write(b"GET /api HTTP/1.1\r\n")
            await wait_until(lambda: len(harness.proxy.frontend.receiving) == 1)
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, ("127.0.0.1", harness.port))
                await wait_until(lambda: len(harness.proxy.frontend.awaiting_first_byte) == 1)
                (connection,) = harness.proxy.frontend.awaiting_first_byte
                connection.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await loop.sock_sendall(
                    slow, b"GET /api HTTP/1.1\r\nX-Correlation-Id: slow\r\nX-Service-Class: read\r\n"
                    b"X-Time-Left: 4000m\r\n\r\n")
                await wait_until(harness.proxy.frontend.has_unwritten_data)
                harness.proxy.drain()
                harness.proxy._fail_open_requests()
                late.writer.write(
                    b"X-Correlation-Id: late\r\nX-Service-Class: read\r\nX-Time-Left: 4000m\r\n\r\n")
                assert await late.read_status() == 503
                harness.proxy._stop_when_flushed(harness.proxy.clock.now() + 1e6)
                assert not harness.proxy.stopped.is_set()
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                received = b""
                while not received.endswith(b"end"):
                    received += await with_timeout(loop.sock_recv(slow, 1 << 20))
            assert received.endswith(b"\r\n\r\n" + b"x" * 900_000 + b"end")
            await wait_until(harness.proxy.stopped.is_set)
            assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


def test_draining_ends_even_if_a_backend_never_responds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("honeywharf.__main__.MAX_DRAIN_MS", 100.0)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            harness.proxy.drain()
            assert await client.read_status() == 502
            assert harness.task is not None
            await with_timeout(asyncio.shield(harness.task))
        await backend.stop()
    run_test(main())
