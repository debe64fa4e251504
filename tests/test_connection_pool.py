"""Attempts over real sockets: the outcome of each ending, and that a request leaves at most once."""

from __future__ import annotations

import asyncio
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
    run_with_timeout,
    synced_proxy,
    wait_until,
    with_timeout,
)

Outcome = api.Outcome


@pytest.mark.parametrize(("step", "outcome", "report"), [
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
    (b"HTTP/1.1 200 OK\r\n\r\nno end is told", Outcome.RESET, None),
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
def test_outcomes(step: bytes | str, outcome: api.Outcome, report: tuple[float, ...] | None) -> None:
    async def main() -> None:
        backend = await Backend().start()
        cut = isinstance(step, bytes) and outcome is Outcome.RESET
        backend.scripted_responses = [step]
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            if cut:  # what came is not whole: end the connection after it
                for writer in list(backend.writers):
                    await writer.drain()
                    writer.close()
            event = await harness.wait_for_ended_attempt()
            assert (event.outcome, event.load_report, event.endpoint) == (outcome, report, "b")
            assert event.request_finished == (outcome is Outcome.OK)
            status = await client.read_status()
            assert (status == 200) == (outcome is Outcome.OK)
            if outcome not in api.NOT_EXECUTED_OUTCOMES:
                assert status not in (429, 503) or status == 200
                assert len(backend.requests) == 1  # an unsafe request that may have run leaves once
        await backend.stop()
    run_with_timeout(main())


def test_a_refused_connection_has_run_nothing() -> None:
    async def main() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))  # bound, and not listening
            async with synced_proxy([discovery_entry("b", taken.getsockname()[1])]) as harness:
                client = await Client.connect(harness.port)
                client.send("pay")
                assert await client.read_status() == 503
                assert {e.outcome for e in harness.ended_attempts()} == {Outcome.CONNECT_FAILED}
    run_with_timeout(main())


def test_a_connection_that_never_comes_up_is_given_up() -> None:
    async def main() -> None:
        with socket.socket() as deaf:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            fillers = []
            for _ in range(4):  # its queue is full: further connections stay silent
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(deaf.getsockname())
                fillers.append(filler)
            async with synced_proxy(
                [discovery_entry("b", deaf.getsockname()[1])], bounds={"mostTries": 1}
            ) as harness:
                client = await Client.connect(harness.port)
                client.send("pay")
                assert await client.read_status() == 503
                event = await harness.wait_for_ended_attempt()
                assert event.outcome is Outcome.CONNECT_TIMEOUT
                assert event.elapsed_ms >= 150.0
            for filler in fillers:
                filler.close()
    run_with_timeout(main())


class TooLate(GatedLoop):
    """The loop, except that the time for a connection is up in the turn after it came up."""

    async def create_connection(self, *args: Any) -> Any:
        transport, protocol = await self.loop.create_connection(*args)
        transport.abort()  # as the loop itself does with one whose opening is cancelled
        if self.connections_allowed.is_set():
            await wait_until(lambda: protocol.closed)
        raise TimeoutError


@pytest.mark.parametrize("lost_first", [True, False])
def test_a_connection_that_comes_up_as_its_time_runs_out_is_counted_off_once(lost_first: bool) -> None:
    """Guards against a count that sinks below the truth, and with it the bound on connections."""
    async def main() -> None:
        backend = await Backend().start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=20000.0), 10)
        pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
        gate = TooLate(loop)
        pool.loop = gate  # type: ignore[assignment]
        if lost_first:
            gate.connections_allowed.set()
        call = RecordingCall(b"")
        pool.start(call)
        await with_timeout(call.finished.wait())
        await wait_until(lambda: backend.closed_connection_count == 1)
        assert (call.outcomes, pool.count, backend.requests) == ([Outcome.CONNECT_TIMEOUT], 0, [])
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("change", ["drains", "leaves", "starts anew", "moves"])
def test_a_backend_that_changes_while_a_connection_comes_up_gets_nothing(change: str) -> None:
    """The change falls between the decision and the connection, every time: both come in one turn."""
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        where = ("127.0.0.1", backend.port)
        pool = ConnectionPool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.set_endpoint("b", where, 1.0, accepts_calls=True)
        call = RecordingCall(b"x")
        pool.start(call)
        if change == "leaves":
            pool.remove_endpoint("b")
        else:
            pool.set_endpoint(
                "b", ("127.0.0.1", other.port) if change == "moves" else where,
                2.0 if change == "starts anew" else 1.0, accepts_calls=change != "drains")
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.NOT_SENT]
        await wait_until(lambda: backend.closed_connection_count == 1)
        assert (pool.count, backend.requests, other.requests) == (0, [], [])
        await backend.stop()
        await other.stop()
    run_with_timeout(main())


def test_a_break_before_the_last_byte_left_has_run_nothing() -> None:
    """The body is larger than what the sockets' buffers take, and the backend never reads it."""
    async def main() -> None:
        with socket.socket() as deaf:
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            deaf.bind(("127.0.0.1", 0))
            deaf.listen()
            deaf.setblocking(False)
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
            pool.set_endpoint("b", deaf.getsockname(), None, accepts_calls=True)
            call = RecordingCall(b"x" * (64 << 20))
            pool.start(call)
            peer, _ = await with_timeout(loop.sock_accept(deaf))
            await wait_until(lambda: call.connection is not None)
            assert pool.has_unwritten_data(call)
            peer.close()
            await with_timeout(call.finished.wait())
            assert call.outcomes == [Outcome.CONNECT_FAILED]
            assert pool.count == 0
    run_with_timeout(main())


class SmallBuffers:
    """The loop, except that new connections have a small send buffer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        small = socket.socket()
        small.setblocking(False)
        small.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        await self.loop.sock_connect(small, (host, port))
        return await self.loop.create_connection(factory, sock=small)


def test_what_is_given_up_half_written_never_arrives_whole() -> None:
    """Guards against a request told as never run whose rest the system still sends as it is closed."""
    async def main() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            small = SmallBuffers(loop)
            pool = ConnectionPool(small, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)  # type: ignore[arg-type]
            pool.set_endpoint("b", listener.getsockname(), None, accepts_calls=True)
            call = RecordingCall(b"x" * 20_000)
            pool.start(call)
            peer, _ = await with_timeout(loop.sock_accept(listener))
            await wait_until(lambda: call.connection is not None)
            assert pool.has_unwritten_data(call)
            peer.setblocking(True)
            peer.settimeout(0.2)
            came = b""
            with suppress(TimeoutError):  # the loop stands still: what it has not written waits
                while data := peer.recv(65536):
                    came += data
            assert pool.has_unwritten_data(call)
            pool.abort(call)
            await asyncio.sleep(0)
            peer.setblocking(False)
            with suppress(ConnectionError):
                while data := await with_timeout(loop.sock_recv(peer, 65536)):
                    came += data
            peer.close()
            assert 0 < len(came.partition(b"\r\n\r\n")[2]) < 20_000
            await wait_until(lambda: pool.count == 0)
    run_with_timeout(main())


def test_a_backend_that_says_nothing_times_out_and_its_connection_closes() -> None:
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
    run_with_timeout(main())


def test_what_goes_on_to_the_backend() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, bytes(range(256)) * 256)
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            body = bytes(reversed(range(256))) * 256
            name = client.send("order", body, "4000m", "X-Account: acme", "Cookie: sid=7")
            first, _, answer = await client.read_response()
            assert first.startswith(b"HTTP/1.1 200")
            assert answer == bytes(range(256)) * 256
            line, headers, got = backend.requests[0]
            assert line == b"POST /api?q=1 HTTP/1.1"
            assert got == body
            assert headers[b"x-correlation-id"] == name.encode()
            assert headers[b"idempotency-key"] == f"key-{name}".encode()
            left = http1.parse_duration_ms(headers[b"x-time-left"])
            assert left is not None
            assert 0.0 < left < 4000.0
        await backend.stop()
    run_with_timeout(main())


def settle(pool: ConnectionPool) -> None:
    """As if the last answers on all kept connections had come long enough ago."""
    for backend in pool.backends.values():
        for connection in backend.idle:
            connection.answered_ms -= connection_pool.REUSE_DELAY_MS


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_requests() -> None:
    """It comes after the next request has left, every time: the backend waits for that."""
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.append(writer)
            try:
                while True:
                    _, _, body = await read_message(reader)
                    while first and body != b"first":  # late: the next request is here
                        other = first.pop()
                        other.write(make_response(200, b"first"))
                        await other.drain()
                    came.append(body)
                    if body == b"first":
                        first.append(writer)
                    await asyncio.sleep(0.01)
                    writer.write(make_response(200, body))
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        connections: list[asyncio.StreamWriter] = []
        came: list[bytes] = []
        first: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with synced_proxy([discovery_entry("b", server.sockets[0].getsockname()[1])]) as harness:
            client = await Client.connect(harness.port)
            for body in (b"first", b"second"):
                client.send("pay", body)
                assert (await client.read_response())[2] == body
            assert came == [b"first", b"second"]
            await wait_until(lambda: harness.proxy.pool.count == 1)  # the one with the late answer is closed
            settle(harness.proxy.pool)
            client.send("pay", b"third")
            assert (await client.read_response())[2] == b"third"
            assert len(connections) == 2
        server.close()
    run_with_timeout(main())


def test_connections_are_kept_and_one_carries_one_request_at_a_time() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            for _ in range(5):
                client.send()
                assert await client.read_status() == 200
                settle(harness.proxy.pool)
            assert backend.connection_count == 1
            backend.default_response = None
            other = await Client.connect(harness.port)
            client.send()
            other.send()
            await wait_until(lambda: len(backend.requests) == 7)
            assert backend.connection_count == 2
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"?"])
def test_a_kept_connection_that_saw_its_end_or_stray_bytes_is_not_used_again(stray: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            for writer in list(backend.writers):
                if stray:
                    writer.write(stray)
                else:
                    writer.close()
            await wait_until(lambda: harness.proxy.pool.count == 0)
            client.send("pay")
            assert await client.read_status() == 200
            assert backend.connection_count == 2
        await backend.stop()
    run_with_timeout(main())


def test_an_answer_with_more_behind_it_or_close_ends_its_connection() -> None:
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
    run_with_timeout(main())


def test_a_connection_idle_for_nearly_the_settings_time_is_closed_first() -> None:
    async def main() -> None:
        backend = await Backend().start()
        # 50 ms short of the margin
        async with synced_proxy([backend.discovery_entry("b")], bounds={"connIdleMs": 800.0}) as harness:
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            # by the proxy: this backend never does
            await wait_until(lambda: backend.closed_connection_count == 1)
            client.send()
            assert await client.read_status() == 200
            assert backend.connection_count == 2
        await backend.stop()
    run_with_timeout(main())


def test_a_client_that_leaves_takes_no_attempt_along() -> None:
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
    run_with_timeout(main())


def test_a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent_on() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy(
            [backend.discovery_entry("b")], bounds={"connectTimeoutMs": 60000.0}
        ) as harness:
            pool = harness.proxy.pool
            gate = GatedLoop(pool.loop)
            pool.loop = gate  # type: ignore[assignment]
            client, stays = await Client.connect(harness.port), await Client.connect(harness.port)
            client.send("pay", b"left")
            await wait_until(lambda: pool.handshakes == 1)
            client.writer.close()
            await wait_until(lambda: any(isinstance(e, api.RequestAbandoned) for e in harness.events))
            gate.connections_allowed.set()
            await wait_until(lambda: not pool.connect_tasks)
            assert [(e.outcome, e.request_finished) for e in harness.ended_attempts()] == [
                (Outcome.NOT_SENT, True)
            ]
            assert harness.proxy.driver.requests == {}
            stays.send("pay", b"stays")  # the connection that came up serves the next one
            assert await stays.read_status() == 200
            assert [m[2] for m in backend.requests] == [b"stays"]
            assert backend.connection_count == 1
        await backend.stop()
    run_with_timeout(main())


def test_the_bound_on_connections_closes_idle_ones_and_then_sends_nothing() -> None:
    async def main() -> None:
        first, second = await Backend().start(), await Backend().start()
        pool = ConnectionPool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 1)
        pool.set_endpoint("b", ("127.0.0.1", first.port), None, accepts_calls=True)
        one = RecordingCall(b"")
        pool.start(one)
        await with_timeout(one.finished.wait())
        pool.set_endpoint("c", ("127.0.0.1", second.port), None, accepts_calls=True)
        second.default_response = None
        two, three = RecordingCall(b""), RecordingCall(b"")
        two.endpoint = three.endpoint = "c"
        pool.start(two)  # closes the idle connection to the other backend
        await with_timeout(second.request_received.wait())
        await wait_until(lambda: first.closed_connection_count == 1)
        pool.start(three)  # and this one finds none to close
        assert three.outcomes == []
        await with_timeout(three.finished.wait())
        # The backend is not to blame for what this proxy lacks.
        assert (one.outcomes, two.outcomes, three.outcomes) == ([Outcome.OK], [], [Outcome.NOT_SENT])
        await first.stop()
        await second.stop()
    run_with_timeout(main())


def test_probes_ask_for_the_report() -> None:
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
    run_with_timeout(main())


def test_an_answer_that_begins_and_does_not_end_leaves_time_for_another_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backend_module, "ANSWER_S", 0.05)

    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("order")
            assert await client.read_status() == 200
            assert [e.outcome for e in harness.ended_attempts()] == [Outcome.ERROR, Outcome.OK]
            # the first was given up before the second left
            await wait_until(lambda: backend.closed_connection_count == 1)
            assert len({r[1][b"idempotency-key"] for r in backend.requests}) == 1
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("behind", [make_response(200, b"another's"), b"noise"])
def test_what_came_before_a_request_is_not_taken_for_its_answer(behind: bytes) -> None:
    """The surplus lies in the socket's buffer, unread, at the moment the connection is taken again."""
    async def main() -> None:
        backend = await Backend().start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
        first = RecordingCall(b"1")
        pool.start(first)
        await with_timeout(first.finished.wait())
        (writer,) = backend.writers
        sent = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(sent.fileno())) as raw:
            raw.send(behind)  # past the loop: nothing is read before `start`
        second = RecordingCall(b"2")
        pool.start(second)
        await with_timeout(second.finished.wait())
        assert second.response_body == b"ok"
        assert (backend.connection_count, len(backend.requests)) == (2, 2)
        await wait_until(lambda: backend.closed_connection_count == 1)
        await backend.stop()
    run_with_timeout(main())


def test_a_connection_with_surplus_is_not_used_again_and_its_backend_not_ejected() -> None:
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
    run_with_timeout(main())


def test_a_backend_that_closes_idle_connections_soon_is_not_written_to_on_an_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backend_module, "IDLE_LEAST_MS", 20.0)

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
        await wait_until(lambda: pool.count == 0)
        learned = pool.backends["b"].idle_ms
        assert 20.0 <= learned < 15000.0
        second, third = RecordingCall(b"2"), RecordingCall(b"3")
        pool.start(second)
        await with_timeout(second.finished.wait())
        pool.backends["b"].idle[0].idle_since -= learned  # as if it had stood that long
        pool.start(third)
        await with_timeout(third.finished.wait())
        assert (backend.connection_count, third.outcomes) == (3, [Outcome.OK])
        await backend.stop()
    run_with_timeout(main())


def test_a_long_answer_in_pieces_is_passed_on_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against good answers, longer than the protocol says, that failed their requests."""
    monkeypatch.setattr(backend_module, "ANSWER_S", 1.0)

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
                await asyncio.sleep(0.3)  # together longer than the pause that one piece may take
            assert (await client.read_response())[2] == body
            assert (await harness.wait_for_ended_attempt()).outcome is Outcome.OK
            assert harness.proxy.pool.bytes_read == 0
        await backend.stop()
    run_with_timeout(main())


def test_long_answers_are_bounded_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against running out of memory on answers that begin and do not end."""
    monkeypatch.setattr(backend_module, "ANSWERS_BYTES", 300_000)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await Client.connect(harness.port)
            client.send("pay")
            await with_timeout(backend.request_received.wait())
            (writer,) = backend.writers
            writer.write(make_response(200, b"x" * 400_000)[:-1])
            assert await client.read_status() == 502
            assert (await harness.wait_for_ended_attempt()).outcome is Outcome.ERROR
            assert harness.proxy.pool.bytes_read == 0
        await backend.stop()
    run_with_timeout(main())
