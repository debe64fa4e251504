"""Callers over real sockets: what the proxy answers by itself, bad input, bounds, the end of service."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from honeywharf import interface as api
from honeywharf.net import downstream, http1
from tests.proxy_harness import (
    Backend,
    Client,
    make_response,
    run_with_timeout,
    synced_proxy,
    wait_until,
    with_timeout,
)

HEAD = b"X-Correlation-Id: abc\r\nX-Service-Class: read\r\nX-Time-Left: 900m\r\n"
ORDER, PAY = HEAD.replace(b"read", b"order"), HEAD.replace(b"read", b"pay")


@pytest.mark.parametrize(("raw", "status"), [
    (b"nonsense\r\n\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"read", b"unheard") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"X-Time-Left: 900m\r\n", b"") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"900m", b"later") + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"X-Correlation-Id: abc\r\n", b"") + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + ORDER + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + HEAD + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\nContent-Length: 1\r\n" + HEAD + b"\r\nx", 400),
    (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + HEAD + b"\r\n", 400),
    (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + ORDER + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n" + PAY
     + b"\r\n0\r\n\r\nPOST /api HTTP/1.1\r\nContent-Length: 0\r\n" + PAY + b"\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n" + HEAD + b"\r\n", 413),
    (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 20000 + b"\r\n\r\n", 431),
])
def test_bad_input_is_answered_by_the_proxy_and_sent_nowhere(raw: bytes, status: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            assert await client.round_trip(raw) == status
            assert await client.reaches_eof()
            assert backend.requests == []
            other = await Client.connect(harness.port)  # and the others are served
            other.send()
            assert await other.read_status() == 200
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("path", [b"/", b"/apis", b"/health", b"/health/ready/x", b"*"])
def test_an_unknown_path_is_not_found_and_the_connection_stays(path: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            assert await client.round_trip(b"OPTIONS " + path + b" HTTP/1.1\r\n" + HEAD + b"\r\n") == 404
            client.send()
            assert await client.read_status() == 200
        await backend.stop()
    run_with_timeout(main())


def test_requests_on_one_connection_are_answered_in_their_order() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [
            make_response(200, b"one"),
            make_response(200, b"two"),
            make_response(200, b"three"),
        ]
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            names = [client.send() for _ in range(3)]
            assert [(await client.read_response())[2] for _ in names] == [b"one", b"two", b"three"]
            assert [r[1][b"x-correlation-id"].decode() for r in backend.requests] == names
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("number", [downstream.MAX_PIPELINED + 1, 400])
def test_a_client_that_sends_requests_by_the_hundred_is_answered_once_and_closed(number: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client, other = await Client.connect(harness.port), await Client.connect(harness.port)
            for k in range(number):
                client.writer.write(b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"abc", b"abc%d" % k) + b"\r\n")
            assert await client.read_status() == 400
            assert await client.reaches_eof()
            assert len(backend.requests) <= 1
            backend.default_response = make_response()
            other.send()
            assert await other.read_status() == 200
            for writer in list(backend.writers):
                writer.write(make_response())
            await wait_until(
                lambda: not harness.proxy.driver.requests and harness.proxy.driver.open_request_count == 0
            )
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("raw", [
    b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n" + HEAD + b"\r\n" + b"x" * 4_000_000,
    b"GET /api HTTP/1.1\r\n" + b"X-Pad: pppp\r\n" * 400_000,
    b"\x00\xff" * 2_000_000,
])
def test_a_client_that_goes_on_sending_still_gets_the_answer(raw: bytes) -> None:
    """It is read and thrown away for a while, since closing on unread bytes would take the answer back."""
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
    run_with_timeout(main())


def test_a_last_answer_arrives_though_more_was_sent_behind_the_request() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("read", b"", "4000m", "Connection: close")
            client.writer.write(b"x" * 100_000)
            assert await client.read_status() == 200
            await wait_until(lambda: not harness.proxy.frontend.connections)
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("sent", [b"", b"POST /api HTTP/1.1\r\nContent-Le", b"GET /none HTTP/1.1\r\n\r\n"])
def test_who_asks_nothing_is_closed_after_a_while(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FIRST_BYTE_TIMEOUT_MS", "IDLE_TIMEOUT_MS", "SLOW_MS"):
        monkeypatch.setattr(downstream, name, 50.0)
    monkeypatch.setattr(downstream, "SWEEP_S", 0.02)

    async def main() -> None:
        async with synced_proxy([]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(sent)
            await with_timeout(client.reader.read())  # to its end
            front = harness.proxy.frontend
            await wait_until(lambda: not front.connections)
            assert not any((front.silent, front.partial, front.idle))
    run_with_timeout(main())


def test_a_time_left_of_years_is_held_to_the_deadline_of_the_class() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send("read", b"", "999999999999m")
            assert await client.read_status() == 200
            (event,) = [e for e in harness.events if isinstance(e, api.RequestArrived)]
            assert event.remaining_ms <= 5000.0
            left = http1.parse_duration_ms(backend.requests[0][1][b"x-time-left"])
            assert left is not None
            assert left <= 5000.0
        await backend.stop()
    run_with_timeout(main())


def test_a_sound_request_is_answered_before_the_malformed_one_behind_it() -> None:
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
    run_with_timeout(main())


def test_a_client_that_asks_for_it_is_told_to_go_on() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.writer.write(
                b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
                + HEAD.replace(b"read", b"pay") + b"\r\n")
            assert await client.read_status() == 100
            client.writer.write(b"ok")
            assert await client.read_status() == 200
            assert backend.requests[0][2] == b"ok"
            assert b"expect" not in backend.requests[0][1]
        await backend.stop()
    run_with_timeout(main())


def test_over_the_bound_on_open_requests_a_request_is_refused_at_once() -> None:
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
    run_with_timeout(main())


def test_an_id_that_is_open_is_not_taken_again() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            first, second = await Client.connect(harness.port), await Client.connect(harness.port)
            first.writer.write(b"GET /api HTTP/1.1\r\n" + HEAD + b"\r\n")
            await with_timeout(backend.request_received.wait())
            assert await second.round_trip(b"GET /api HTTP/1.1\r\n" + HEAD + b"\r\n") == 409
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await first.read_status() == 200
        await backend.stop()
    run_with_timeout(main())


def test_beyond_the_bound_on_callers_the_silent_go_first_and_then_new_ones_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(downstream, "YOUNG_MS", 0.0)

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
            await wait_until(lambda: len(harness.proxy.frontend.silent) == 1)
            third = await Client.connect(harness.port)
            assert await silent.reaches_eof()
            third.writer.write(b"GET /api HT")
            await wait_until(lambda: len(harness.proxy.frontend.partial) == 1)
            fourth = await Client.connect(harness.port)
            assert await third.reaches_eof()
            for client in (idle, fourth):
                backend.request_received.clear()
                client.send()
                await with_timeout(backend.request_received.wait())
            fifth = await Client.connect(harness.port)  # all are busy now
            assert await fifth.read_status() == 503
            assert await fifth.reaches_eof()
            assert len(backend.requests) == 4
            for writer in list(backend.writers):
                writer.write(make_response())
            for client in (busy, idle, fourth):
                assert await client.read_status() == 200
        await backend.stop()
    run_with_timeout(main())


def test_a_flood_of_callers_that_are_turned_away_keeps_to_the_bound_and_all_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the descriptors: else what lingers after its last answer leaves none for all the rest."""
    monkeypatch.setattr(downstream, "LINGER_S", 60.0)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            front = harness.proxy.frontend
            front.max_connections = 8
            busy = await Client.connect(harness.port)
            backend.default_response = None
            busy.send()
            await with_timeout(backend.request_received.wait())
            crowd = []
            for _ in range(40):
                crowd.append(await Client.connect(harness.port))  # who stay
                assert await crowd[-1].round_trip(b"nonsense\r\n\r\n") == 400
                assert len(front.connections) <= front.max_connections
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await busy.read_status() == 200
            assert await busy.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        await backend.stop()
    run_with_timeout(main())


def test_part_of_a_request_does_not_stay_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "SLOW_MS", 50.0)
    monkeypatch.setattr(downstream, "SWEEP_S", 0.02)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            idle, slow = await Client.connect(harness.port), await Client.connect(harness.port)
            idle.send()
            assert await idle.read_status() == 200
            assert await slow.round_trip(b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf") == 408
            assert await slow.reaches_eof()
            idle.send()  # one that is merely idle stays
            assert await idle.read_status() == 200
        await backend.stop()
    run_with_timeout(main())


def test_draining_finishes_what_is_taken_and_closes_the_rest() -> None:
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
            late = await Client.connect(harness.port)  # the front still sends connections for a moment
            assert await late.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            assert await late.reaches_eof()
            late = await Client.connect(harness.port)
            late.send()
            await wait_until(lambda: len(backend.requests) == 2)
            for writer in list(backend.writers):
                writer.write(make_response(200, b"done"))
            for client in (busy, late):
                first, headers, body = await client.read_response()
                assert (first.split()[1], headers[b"connection"], body) == (b"200", b"close", b"done")
                assert await client.reaches_eof()
            assert harness.task is not None
            await with_timeout(asyncio.shield(harness.task))  # it ends by itself once nothing is open
        await backend.stop()
    run_with_timeout(main())


def test_who_stands_in_line_when_the_listener_closes_is_still_served() -> None:
    """The loop is late, every time: the caller comes in the very turn in which the listener's time is up."""
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
                answer = await with_timeout(asyncio.get_running_loop().sock_recv(late, 4096))
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert harness.task is not None
            await with_timeout(asyncio.shield(harness.task))
            assert len(backend.requests) == 1
        await backend.stop()
    run_with_timeout(main())


def test_after_the_cut_off_what_comes_is_refused_and_answers_leave_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One caller has its answer half taken off when the process is about to end, another one just asks."""
    monkeypatch.setattr("honeywharf.__main__.MAX_FLUSH_MS", 1e6)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(200, b"x" * 900_000 + b"end")
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            loop = asyncio.get_running_loop()
            late = await Client.connect(harness.port)
            late.writer.write(b"GET /api HTTP/1.1\r\n")
            await wait_until(lambda: len(harness.proxy.frontend.partial) == 1)
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, ("127.0.0.1", harness.port))
                await wait_until(lambda: len(harness.proxy.frontend.silent) == 1)
                (caller,) = harness.proxy.frontend.silent
                caller.transport.get_extra_info("socket").setsockopt(
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
                whole = b""
                while not whole.endswith(b"end"):
                    whole += await with_timeout(loop.sock_recv(slow, 1 << 20))
            assert whole.endswith(b"\r\n\r\n" + b"x" * 900_000 + b"end")
            await wait_until(harness.proxy.stopped.is_set)
            assert len(backend.requests) == 1
        await backend.stop()
    run_with_timeout(main())


def test_the_end_comes_even_when_a_backend_never_answers(monkeypatch: pytest.MonkeyPatch) -> None:
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
    run_with_timeout(main())
