"""Tests of attempts over real sockets: their outcomes, and that a request is sent at most once."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from contextlib import suppress
from typing import Any

import pytest

from honeywharf import interface as api
from honeywharf.net import backend as backend_module, connection_pool, http1
from honeywharf.net.clock import Clock
from honeywharf.net.connection_pool import ConnectionPool
from tests.proxy_harness import (
    Backend,
    Client,
    GatedLoop,
    RecordingCall,
    discovery_entry,
    make_response,
    read_message,
    reset_connection,
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)

Outcome = api.Outcome


@pytest.mark.usefixtures("disable_response_timeouts")
@pytest.mark.parametrize(("scripted_response", "outcome", "expected_report"), [
    (make_response(200, b"x", b"X-Backend-Load: busy_reqs=7,pending=2"), Outcome.OK, (2.0, 7.0)),
    (make_response(500, b"x", b"X-Backend-Load: pending=1,busy_reqs=0"), Outcome.ERROR, (1.0, 0.0)),
    (make_response(503, b"", b"X-Unprocessed: 1"), Outcome.REJECTED, None),
    (make_response(504, b"", b"X-Unprocessed: 1"), Outcome.REJECTED, None),
    (make_response(503), Outcome.ERROR, None),
    (make_response(503, b"", b"X-Unprocessed: 0"), Outcome.ERROR, None),
    (make_response(504), Outcome.ERROR, None),
    (make_response(404), Outcome.ERROR, None),
    ("close", Outcome.RESET, None),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.RESET, None),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", Outcome.RESET, None),
    (b"not http at all\r\n\r\n", Outcome.ERROR, None),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nit keeps coming", Outcome.ERROR, None),
    (b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 40000, Outcome.ERROR, None),
    (make_response(200, b"x" * 400_000, b"X-Backend-Load: pending=0,busy_reqs=1"), Outcome.OK, (0.0, 1.0)),
    (make_response(200, b"x" * 1_100_000), Outcome.ERROR, None),
    (make_response() + make_response(200, b"copy"), Outcome.OK, None),
    (make_response() + b"noise", Outcome.OK, None),
    (make_response(200, b"ok", b"X-Backend-Load: pending=nan,busy_reqs=1"), Outcome.OK, None),
    (b"HTTP/1.1 102 X\r\nX-Backend-Load: pending=9,busy_reqs=9\r\n\r\n" + make_response(), Outcome.OK, None),
])
def test_outcome_of_each_response(
    scripted_response: bytes | str, outcome: api.Outcome, expected_report: tuple[float, ...] | None,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        truncated = isinstance(scripted_response, bytes) and outcome is Outcome.RESET
        backend.scripted_responses = [scripted_response]
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")  # Requests of this class must not be repeated.
            await with_timeout(backend.request_received.wait())
            if truncated:  # The backend closes the connection after an incomplete response.
                for writer in list(backend.writers):
                    await writer.drain()
                    writer.close()
            event = await harness.wait_for_ended_attempt()
            assert (event.outcome, event.load_report, event.endpoint) == (outcome, expected_report, "b")
            assert event.request_finished == (outcome is Outcome.OK)
            status = await client.read_status()
            assert (status == 200) == (outcome is Outcome.OK)
            if outcome not in api.NOT_EXECUTED_OUTCOMES:
                assert status not in (429, 503) or status == 200
                # A request that must not be repeated is sent once if it may have been executed.
                assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


@pytest.mark.usefixtures("disable_response_timeouts")
@pytest.mark.parametrize("ends_in_order", [True, False])
def test_calls_ended_by_eof_and_by_a_reset_are_counted_apart(ends_in_order: bool) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            (writer,) = backend.writers
            if ends_in_order:
                writer.close()
            else:
                reset_connection(writer)
            assert (await harness.wait_for_ended_attempt()).outcome is Outcome.RESET
            counter = "calls ended by eof" if ends_in_order else "calls ended by reset"
            assert harness.proxy.pool.counts == {counter: 1}
        await backend.stop()
    run_test(main())


def test_a_refused_connection_ends_as_connect_failed() -> None:
    async def main() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))  # The port is bound, but nothing listens on it.
            async with synced_proxy([discovery_entry("b", unused.getsockname()[1])]) as harness:
                client = await Client.connect(harness.port)
                client.send("pay")
                assert await client.read_status() == 503
                assert {e.outcome for e in harness.ended_attempts()} == {Outcome.CONNECT_FAILED}
    run_test(main())


def test_a_connection_that_is_never_established_times_out() -> None:
    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = []
            for _ in range(4):  # These fill the listener's backlog, so further connects get no reply.
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                fillers.append(filler)
            async with synced_proxy(
                [discovery_entry("b", listener.getsockname()[1])], bounds={"mostTries": 1}
            ) as harness:
                client = await Client.connect(harness.port)
                client.send("pay")
                assert await client.read_status() == 503
                event = await harness.wait_for_ended_attempt()
                assert event.outcome is Outcome.CONNECT_TIMEOUT
                assert event.elapsed_ms >= 150.0
            for filler in fillers:
                filler.close()
    run_test(main())


class ExpiredConnectLoop(GatedLoop):
    """A loop in which each connect times out in the loop iteration after the connection is established.

    Unlike in the base class, `connections_allowed` holds back no connects. It selects the order of events:
    if it is set, the timeout is raised only after the protocol has seen the connection close.
    """

    async def create_connection(self, *args: Any) -> Any:
        transport, protocol = await self.loop.create_connection(*args)
        transport.abort()  # The loop itself does this with a connection whose connect is cancelled.
        if self.connections_allowed.is_set():
            await wait_until(lambda: protocol.closed)
        raise TimeoutError


@pytest.mark.parametrize("close_first", [True, False])
def test_a_connection_established_as_its_timeout_expires_is_removed_once(close_first: bool) -> None:
    """Removing the connection twice would make the pool count too few, and exceed its connection limit."""
    async def main() -> None:
        backend = await Backend().start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=20000.0), 10)
        pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
        expired_connect_loop = ExpiredConnectLoop(loop)
        pool.loop = expired_connect_loop  # type: ignore[assignment]
        if close_first:  # The flag makes the timeout wait for the close (see ExpiredConnectLoop).
            expired_connect_loop.connections_allowed.set()
        call = RecordingCall(b"")
        pool.start(call)
        await with_timeout(call.finished.wait())
        await wait_until(lambda: backend.closed_connection_count == 1)
        assert (call.outcomes, pool.total_connections, backend.requests) == ([Outcome.CONNECT_TIMEOUT], 0, [])
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("change", ["drains", "is removed", "restarts", "changes address"])
def test_nothing_is_sent_to_a_backend_that_changes_during_connect(change: str) -> None:
    """The change always comes before the connect completes, as no loop iteration runs in between."""
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        address = ("127.0.0.1", backend.port)
        pool = ConnectionPool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.set_endpoint("b", address, 1.0, accepts_calls=True)
        call = RecordingCall(b"x")
        pool.start(call)
        if change == "is removed":
            pool.remove_endpoint("b")
        else:
            pool.set_endpoint(
                "b", ("127.0.0.1", other.port) if change == "changes address" else address,
                2.0 if change == "restarts" else 1.0, accepts_calls=change != "drains")
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.NOT_SENT]
        await wait_until(lambda: backend.closed_connection_count == 1)
        assert (pool.total_connections, backend.requests, other.requests) == (0, [], [])
        await backend.stop()
        await other.stop()
    run_test(main())


@pytest.mark.parametrize(("response", "ends_in_order"), [
    (b"", False), (b"", True), (b"HTTP/1.1 200 OK\r\n\r\nno length", False),
    (b"HTTP/1.1 200 OK\r\n\r\nno length", True),
])
def test_losing_a_connection_before_the_request_is_written_is_connect_failed(
    response: bytes, ends_in_order: bool,
) -> None:
    """The body is larger than the buffers of the sockets, and the backend never reads it.

    So the backend cannot have executed the request, whatever it responds.
    """
    async def main() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
            pool.set_endpoint("b", listener.getsockname(), None, accepts_calls=True)
            call = RecordingCall(b"x" * (64 << 20))
            pool.start(call)
            peer, _ = await with_timeout(loop.sock_accept(listener))
            await wait_until(lambda: call.connection is not None)
            assert pool.has_unwritten_data(call)
            await loop.sock_sendall(peer, response)
            if ends_in_order:
                peer.shutdown(socket.SHUT_WR)
            else:
                peer.close()  # resets the connection, because part of the request is unread
            await with_timeout(call.finished.wait())
            assert call.outcomes == [Outcome.CONNECT_FAILED]
            assert pool.total_connections == 0
            peer.close()
    run_test(main())


class SmallSendBufferLoop:
    """Wraps an event loop and gives new connections a small send buffer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        await self.loop.sock_connect(connection, (host, port))
        return await self.loop.create_connection(factory, sock=connection)


@pytest.fixture(params=[False, True], ids=["descriptors left", "no descriptor left"])
def without_descriptors(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the process have no descriptor left to duplicate one."""
    if request.param:
        def fail(_: int) -> int:
            raise OSError(errno.EMFILE, "injected")
        monkeypatch.setattr(os, "dup", fail)


@pytest.mark.usefixtures("without_descriptors")
def test_a_request_aborted_half_written_never_arrives_whole() -> None:
    """The event loop tries once more to write its buffer when a connection is closed.

    The request could then be executed, although its outcome says that it was not.
    """
    async def main() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            buffer_loop = SmallSendBufferLoop(loop)
            pool = ConnectionPool(
                buffer_loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)  # type: ignore[arg-type]
            pool.set_endpoint("b", listener.getsockname(), None, accepts_calls=True)
            call = RecordingCall(b"x" * 20_000)
            pool.start(call)
            peer, _ = await with_timeout(loop.sock_accept(listener))
            await wait_until(lambda: call.connection is not None)
            assert pool.has_unwritten_data(call)
            peer.setblocking(True)
            peer.settimeout(0.2)
            received = b""
            # This blocks the event loop, so the part that it has not written yet stays in its buffer.
            with suppress(TimeoutError):
                while data := peer.recv(65536):
                    received += data
            assert pool.has_unwritten_data(call)
            pool.abort(call)
            await asyncio.sleep(0)
            peer.setblocking(False)
            with suppress(ConnectionError):
                while data := await with_timeout(loop.sock_recv(peer, 65536)):
                    received += data
            peer.close()
            assert 0 < len(received.partition(b"\r\n\r\n")[2]) < 20_000
            await wait_until(lambda: pool.total_connections == 0)
    run_test(main())


def test_an_attempt_without_a_response_times_out_and_its_connection_closes() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("pay", time_left="300m")
            assert await client.read_status() == 502
            assert [e.outcome for e in harness.ended_attempts()] == [Outcome.TIMEOUT]
            await wait_until(lambda: backend.closed_connection_count == 1)
            assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


def test_request_line_headers_and_body_reach_the_backend() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, bytes(range(256)) * 256)
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            body = bytes(reversed(range(256))) * 256
            request_id = client.send("order", body, "4000m", "X-Account: acme", "Cookie: sid=7")
            status_line, _, response_body = await client.read_response()
            assert status_line.startswith(b"HTTP/1.1 200")
            assert response_body == bytes(range(256)) * 256
            request_line, headers, received_body = backend.requests[0]
            assert request_line == b"POST /api?q=1 HTTP/1.1"
            assert received_body == body
            assert headers[b"x-correlation-id"] == request_id.encode()
            assert headers[b"idempotency-key"] == f"key-{request_id}".encode()
            time_left_ms = http1.parse_duration_ms(headers[b"x-time-left"])
            assert time_left_ms is not None
            assert 0.0 < time_left_ms < 4000.0
        await backend.stop()
    run_test(main())


def skip_reuse_delay(pool: ConnectionPool) -> None:
    """Make all idle connections reusable at once, by shifting the times of their last responses."""
    for backend in pool.backends.values():
        for connection in backend.idle_connections:
            connection.last_response_ms -= connection_pool.REUSE_DELAY_MS


def test_a_late_duplicate_response_is_not_matched_to_the_next_request() -> None:
    """The backend sends a second response to the first request only when the next request has arrived."""
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.append(writer)
            try:
                while True:
                    _, _, body = await read_message(reader)
                    while first_writers and body != b"first":
                        first_writer = first_writers.pop()
                        first_writer.write(make_response(200, b"first"))
                        await first_writer.drain()
                    received.append(body)
                    if body == b"first":
                        first_writers.append(writer)
                    await asyncio.sleep(0.01)
                    writer.write(make_response(200, body))
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        connections: list[asyncio.StreamWriter] = []
        received: list[bytes] = []
        first_writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with synced_proxy([discovery_entry("b", server.sockets[0].getsockname()[1])]) as harness:
            client = await Client.connect(harness.port)
            for body in (b"first", b"second"):
                client.send("pay", body)
                assert (await client.read_response())[2] == body
            assert received == [b"first", b"second"]
            # The connection with the duplicate response is closed.
            await wait_until(lambda: harness.proxy.pool.total_connections == 1)
            skip_reuse_delay(harness.proxy.pool)
            client.send("pay", b"third")
            assert (await client.read_response())[2] == b"third"
            assert len(connections) == 2
        server.close()
    run_test(main())


def test_connections_are_reused_for_one_request_at_a_time() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            for _ in range(5):
                client.send()
                assert await client.read_status() == 200
                skip_reuse_delay(harness.proxy.pool)
            assert backend.connection_count == 1
            backend.default_response = None
            second_client = await Client.connect(harness.port)
            client.send()
            second_client.send()
            await wait_until(lambda: len(backend.requests) == 7)
            assert backend.connection_count == 2
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("unsolicited", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"?"])
def test_an_idle_connection_with_eof_or_unsolicited_bytes_is_not_reused(unsolicited: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            for writer in list(backend.writers):
                if unsolicited:
                    writer.write(unsolicited)
                else:
                    writer.close()
            await wait_until(lambda: harness.proxy.pool.total_connections == 0)
            client.send("pay")
            assert await client.read_status() == 200
            assert backend.connection_count == 2
        await backend.stop()
    run_test(main())


def test_a_response_with_connection_close_ends_its_connection() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [
            make_response(200, b"x", b"Connection: close"),
            make_response(200, b"y"),
        ]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            for number in (1, 2):
                client.send()
                assert await client.read_status() == 200
                assert backend.connection_count == number
        await backend.stop()
    run_test(main())


def test_the_proxy_closes_an_idle_connection_before_the_backends_idle_timeout() -> None:
    async def main() -> None:
        backend = await Backend().start()
        # The proxy closes 750 ms before the backend's configured idle timeout, so after 50 ms.
        async with synced_proxy([backend.discovery_entry("b")], bounds={"connIdleMs": 800.0}) as harness:
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            # Only the proxy can have closed it, because this backend does not close idle connections.
            await wait_until(lambda: backend.closed_connection_count == 1)
            client.send()
            assert await client.read_status() == 200
            assert backend.connection_count == 2
        await backend.stop()
    run_test(main())


def test_a_client_disconnect_does_not_abort_an_attempt_that_was_sent() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            client.writer.close()
            await wait_until(lambda: any(isinstance(e, api.RequestAbandoned) for e in harness.events))
            assert backend.closed_connection_count == 0
            for writer in list(backend.writers):
                writer.write(make_response())
            event = await harness.wait_for_ended_attempt()
            assert (event.outcome, event.request_finished) == (Outcome.OK, True)
            await wait_until(lambda: harness.proxy.driver.requests == {})
        await backend.stop()
    run_test(main())


def test_nothing_is_sent_for_a_client_that_disconnects_during_connect() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy(
            [backend.discovery_entry("b")], bounds={"connectTimeoutMs": 60000.0}
        ) as harness:
            pool = harness.proxy.pool
            gated_loop = GatedLoop(pool.loop)
            pool.loop = gated_loop  # type: ignore[assignment]
            client, second_client = await Client.connect(harness.port), await Client.connect(harness.port)
            client.send("pay", b"left")
            await wait_until(lambda: pool.handshakes == 1)  # `handshakes` counts the connects started.
            client.writer.close()
            await wait_until(lambda: any(isinstance(e, api.RequestAbandoned) for e in harness.events))
            gated_loop.connections_allowed.set()
            await wait_until(lambda: not pool.connect_tasks)
            assert [(e.outcome, e.request_finished) for e in harness.ended_attempts()] == [
                (Outcome.NOT_SENT, True)
            ]
            assert harness.proxy.driver.requests == {}
            # The established connection serves the next request.
            second_client.send("pay", b"stays")
            assert await second_client.read_status() == 200
            assert [message[2] for message in backend.requests] == [b"stays"]
            assert backend.connection_count == 1
        await backend.stop()
    run_test(main())


def test_at_the_connection_limit_idle_connections_close_and_then_calls_are_not_sent() -> None:
    async def main() -> None:
        first, second = await Backend().start(), await Backend().start()
        pool = ConnectionPool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 1)
        pool.set_endpoint("b", ("127.0.0.1", first.port), None, accepts_calls=True)
        first_call = RecordingCall(b"")
        pool.start(first_call)
        await with_timeout(first_call.finished.wait())
        pool.set_endpoint("c", ("127.0.0.1", second.port), None, accepts_calls=True)
        second.default_response = None
        second_call, third_call = RecordingCall(b""), RecordingCall(b"")
        second_call.endpoint = third_call.endpoint = "c"
        pool.start(second_call)  # This closes the idle connection to the other backend.
        await with_timeout(second.request_received.wait())
        await wait_until(lambda: first.closed_connection_count == 1)
        pool.start(third_call)  # There is no idle connection left to close.
        assert third_call.outcomes == []
        await with_timeout(third_call.finished.wait())
        # The proxy's connection limit is not counted as a failure of the backend.
        assert (first_call.outcomes, second_call.outcomes, third_call.outcomes) == (
            [Outcome.OK], [], [Outcome.NOT_SENT])
        await first.stop()
        await second.stop()
    run_test(main())


def test_a_probe_fetches_the_load_report() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [make_response(200, b"pending=4,busy_reqs=5")]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            harness.proxy.driver._execute(api.Probe("b"))
            await wait_until(lambda: any(isinstance(e, api.ProbeEnded) for e in harness.events))
            (event,) = [e for e in harness.events if isinstance(e, api.ProbeEnded)]
            assert (event.endpoint, event.outcome, event.load_report) == ("b", Outcome.OK, (4.0, 5.0))
            assert backend.requests[0][0] == b"GET /stats HTTP/1.1"
        await backend.stop()
    run_test(main())


def test_an_incomplete_response_fails_early_enough_for_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backend_module, "RESPONSE_READ_TIMEOUT_S", 0.05)

    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("order")
            assert await client.read_status() == 200
            assert [e.outcome for e in harness.ended_attempts()] == [Outcome.ERROR, Outcome.OK]
            # The first attempt's connection was closed before the second attempt was sent.
            await wait_until(lambda: backend.closed_connection_count == 1)
            assert len({r[1][b"idempotency-key"] for r in backend.requests}) == 1
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("trailing_data", [make_response(200, b"another's"), b"noise"])
def test_bytes_received_before_a_request_are_not_taken_for_its_response(trailing_data: bytes) -> None:
    """The trailing data is still unread in the socket's buffer when the connection is to be reused."""
    async def main() -> None:
        backend = await Backend().start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
        first = RecordingCall(b"1")
        pool.start(first)
        await with_timeout(first.finished.wait())
        (writer,) = backend.writers
        backend_socket = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(backend_socket.fileno())) as duplicate:
            duplicate.send(trailing_data)  # This bypasses the loop, which reads nothing before `start`.
        second = RecordingCall(b"2")
        pool.start(second)
        await with_timeout(second.finished.wait())
        assert second.response_body == b"ok"
        assert (backend.connection_count, len(backend.requests)) == (2, 2)
        await wait_until(lambda: backend.closed_connection_count == 1)
        await backend.stop()
    run_test(main())


def test_a_connection_with_trailing_data_is_not_reused_and_its_backend_not_ejected() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [
            make_response(200, b"one") + make_response(200, b"copy"),
            make_response(200, b"two"),
        ]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            for body in (b"one", b"two"):
                client.send()
                assert (await client.read_response())[2] == body
            assert backend.connection_count == 2
            assert harness.proxy.driver.balancer.host_set.servers["b"].ejections == 0
        await backend.stop()
    run_test(main())


def test_the_pool_learns_the_idle_timeout_of_a_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backend_module, "MIN_OBSERVED_IDLE_MS", 20.0)

    async def main() -> None:
        backend = await Backend().start()
        pool = ConnectionPool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
        first = RecordingCall(b"1")
        pool.start(first)
        await with_timeout(first.finished.wait())
        await asyncio.sleep(0.1)
        for writer in list(backend.writers):
            writer.close()
        await wait_until(lambda: pool.total_connections == 0)
        observed_idle_ms = pool.backends["b"].max_idle_ms
        assert 20.0 <= observed_idle_ms < 15000.0
        second, third = RecordingCall(b"2"), RecordingCall(b"3")
        pool.start(second)
        await with_timeout(second.finished.wait())
        # Make the connection appear to have been idle for that long.
        pool.backends["b"].idle_connections[0].idle_since_ms -= observed_idle_ms
        pool.start(third)
        await with_timeout(third.finished.wait())
        assert (backend.connection_count, third.outcomes) == (3, [Outcome.OK])
        await backend.stop()
    run_test(main())


def test_a_long_response_in_pieces_is_forwarded_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Valid response bodies of 400 KB occur, so they must not fail at the protocol's body limit of 64 KiB.

    Such a response may take longer than the read timeout, as long as each piece arrives in time.
    """
    monkeypatch.setattr(backend_module, "RESPONSE_READ_TIMEOUT_S", 1.0)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        body = os.urandom(400_000)
        whole = make_response(200, body)
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(backend.request_received.wait())
            (writer,) = backend.writers
            for start in range(0, len(whole), 80_000):
                writer.write(whole[start:start + 80_000])
                await writer.drain()
                # The pauses add up to more than the read timeout.
                await asyncio.sleep(0.3)
            assert (await client.read_response())[2] == body
            assert (await harness.wait_for_ended_attempt()).outcome is Outcome.OK
            assert harness.proxy.pool.response_memory.used_bytes == 0
        await backend.stop()
    run_test(main())


def test_the_total_size_of_incomplete_responses_is_limited() -> None:
    """Many responses that begin and never end would otherwise use up the memory."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            harness.proxy.pool.response_memory.limit_bytes = 300_000
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            (writer,) = backend.writers
            writer.write(make_response(200, b"x" * 400_000)[:-1])
            assert await client.read_status() == 502
            assert (await harness.wait_for_ended_attempt()).outcome is Outcome.ERROR
            assert harness.proxy.pool.response_memory.used_bytes == 0
        await backend.stop()
    run_test(main())
