"""Tests of connections that are established slowly or never: the pool opens additional ones in parallel."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from honeywharf import interface as api
from honeywharf.net.clock import Clock
from honeywharf.net.connect_times import (
    MAX_SAMPLES,
    MIN_SLOW_THRESHOLD_MS,
    SLOW_THRESHOLD_FACTOR,
    ConnectTimes,
)
from honeywharf.net.connection_pool import ConnectionPool
from tests.proxy_harness import (
    Backend,
    Client,
    ProxyHarness,
    RecordingCall,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)

Outcome = api.Outcome


class SlowConnectLoop:
    """Wraps an event loop and holds back some of its connects until `connections_allowed` is set.

    `slow_connect_indexes` says which connects are held back, counted from 0. The other ones fail with
    `connect_error` if it is set.
    """

    connect_error: OSError | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop, *slow_connect_indexes: int) -> None:
        self.loop, self.slow_connect_indexes, self.connect_count = loop, slow_connect_indexes, 0
        self.connections_allowed = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        index, self.connect_count = self.connect_count, self.connect_count + 1
        if index in self.slow_connect_indexes:
            await self.connections_allowed.wait()
        elif self.connect_error is not None:
            raise self.connect_error
        return await self.loop.create_connection(*args)


def make_pool(
    backend: Backend, *slow_connect_indexes: int, max_connections: int = 10, timeout_ms: float = 60000.0,
) -> tuple[ConnectionPool, SlowConnectLoop]:
    loop = SlowConnectLoop(asyncio.get_running_loop(), *slow_connect_indexes)
    limits = api.Limits(connect_timeout_ms=timeout_ms)
    pool = ConnectionPool(loop, Clock(), limits, max_connections)  # type: ignore[arg-type]
    pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
    return pool, loop


def start(pool: ConnectionPool, *bodies: bytes) -> list[RecordingCall]:
    calls = [RecordingCall(body) for body in bodies]
    for call in calls:
        pool.start(call)
    return calls


@asynccontextmanager
async def proxy(
    *slow_connect_indexes: int, **changes: Any,
) -> AsyncIterator[tuple[ProxyHarness, Backend, SlowConnectLoop]]:
    """Run a proxy with one backend; the connects of these indexes are held back, see `SlowConnectLoop`."""
    backend = await Backend().start()
    changes = {"bounds": {"connectTimeoutMs": 60000.0}, **changes}
    async with synced_proxy([backend.discovery_entry("b")], **changes) as harness:
        loop = SlowConnectLoop(harness.proxy.loop, *slow_connect_indexes)
        harness.proxy.pool.loop = loop  # type: ignore[assignment]
        yield harness, backend, loop
    await backend.stop()


@pytest.mark.parametrize("slow_connect_count", [1, 2, 3])
def test_a_call_is_sent_on_an_additional_connection_while_earlier_connects_are_pending(
    slow_connect_count: int,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, *range(slow_connect_count))
        (call,) = start(pool, b"once")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.connect_count, pool.slow_connect_count) == (
            [Outcome.OK], slow_connect_count + 1, slow_connect_count)
        loop.connections_allowed.set()
        await wait_until(lambda: backend.connection_count == slow_connect_count + 1)
        await wait_until(lambda: len(pool.backends["b"].idle_connections) == slow_connect_count + 1)
        others = start(pool, *[b"%d" % i for i in range(slow_connect_count)])
        for other in others:  # Each call is sent on one of the slow connections.
            await with_timeout(other.finished.wait())
        assert loop.connect_count == slow_connect_count + 1
        assert sorted(body for _, _, body in backend.requests) == sorted(
            [b"once", *[b"%d" % i for i in range(slow_connect_count)]])
        await backend.stop()
    run_test(main())


def test_a_request_succeeds_if_the_first_connection_is_never_established() -> None:
    async def main() -> None:
        async with proxy(0) as (harness, backend, _):
            client = await Client.connect(harness.port)
            client.send("pay", b"x")
            assert await client.read_status() == 200
            assert [e.outcome for e in harness.ended_attempts()] == [Outcome.OK]
            assert len(backend.requests) == 1
    run_test(main())


def test_requests_succeed_despite_slow_connections_when_no_connection_is_reused() -> None:
    async def main() -> None:
        async with proxy(1, 3) as (harness, backend, loop):
            backend.default_response = make_response(200, b"x", b"Connection: close")
            client = await Client.connect(harness.port)
            for _ in range(3):
                client.send("pay", b"x")
                assert await client.read_status() == 200
            assert {e.outcome for e in harness.ended_attempts()} == {Outcome.OK}
            assert (loop.connect_count, len(backend.requests)) == (5, 3)
    run_test(main())


def test_a_waiting_call_takes_a_connection_that_another_call_releases() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [None]
        pool, loop = make_pool(backend, 1, max_connections=2)
        first, second = start(pool, b"first", b"second")
        await with_timeout(backend.request_received.wait())
        await wait_until(lambda: pool.slow_connect_count == 1)
        for writer in list(backend.writers):
            writer.write(make_response())
        await with_timeout(second.finished.wait())
        assert (first.outcomes, second.outcomes, loop.connect_count) == ([Outcome.OK], [Outcome.OK], 2)
        assert [body for _, _, body in backend.requests] == [b"first", b"second"]
        await backend.stop()
    run_test(main())


def test_further_connections_respect_the_limit_and_evict_no_idle_connection() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        pool, loop = make_pool(backend, 1, max_connections=2)
        pool.set_endpoint("other", ("127.0.0.1", other.port), None, accepts_calls=True)
        other_call = RecordingCall(b"")
        other_call.endpoint = "other"
        pool.start(other_call)
        await with_timeout(other_call.finished.wait())
        (call,) = start(pool, b"")
        await wait_until(lambda: pool.slow_connect_count == 1)
        assert (
            loop.connect_count, pool.total_connections, len(pool.backends["other"].idle_connections)
        ) == (2, 2, 1)
        loop.connections_allowed.set()
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.OK]
        await backend.stop()
        await other.stop()
    run_test(main())


def test_connects_to_an_unresponsive_backend_back_off() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, *range(1000), timeout_ms=300.0)
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.CONNECT_TIMEOUT]
        # The connects start after 0, 10, 30, 70 and 150 ms. The next one would start only after
        # the connect timeout.
        assert 2 <= loop.connect_count <= 6
        before = loop.connect_count
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert loop.connect_count <= before + 2
        loop.connections_allowed.set()
        await wait_until(lambda: not pool.connect_tasks)
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, pool.backends["b"].consecutive_slow_connects) == ([Outcome.OK], 0)
        await backend.stop()
    run_test(main())


def test_a_refused_connect_is_not_retried_while_another_is_pending() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, 0)
        loop.connect_error = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.connect_count) == ([Outcome.CONNECT_FAILED], 2)
        await backend.stop()
    run_test(main())


def test_a_call_with_a_pending_connect_continues_when_no_file_descriptor_is_left() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, 0)
        loop.connect_error = OSError(errno.EMFILE, "no descriptor")
        (call,) = start(pool, b"")
        await wait_until(lambda: loop.connect_count == 2 and len(pool.connect_tasks) == 1)
        loop.connections_allowed.set()
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.connect_count) == ([Outcome.OK], 2)
        # Make the idle connection unusable: its reuse delay does not end during the test.
        pool.backends["b"].idle_connections[0].last_response_ms += 1e6
        # Without a pending connect, the call fails, which is not counted as a failure of the backend.
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, pool.total_connections) == ([Outcome.NOT_SENT], 1)
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("change", ["drains", "is removed", "restarts", "changes address"])
def test_a_change_of_the_backend_ends_waiting_calls_at_once(change: str) -> None:
    """All connections are pending at the time of the change, and nothing is sent on them later."""
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        pool, loop = make_pool(backend, *range(1000))
        calls = start(pool, b"1", b"2")
        await wait_until(lambda: pool.slow_connect_count >= 3)
        address = ("127.0.0.1", other.port if change == "changes address" else backend.port)
        if change == "is removed":
            pool.remove_endpoint("b")
        else:
            pool.set_endpoint(
                "b", address, 2.0 if change == "restarts" else None, accepts_calls=change != "drains")
        for call in calls:
            await with_timeout(call.finished.wait())
            assert call.outcomes == [Outcome.NOT_SENT]
        loop.connections_allowed.set()
        await wait_until(lambda: not pool.connect_tasks)
        await wait_until(lambda: backend.closed_connection_count == loop.connect_count)
        assert (pool.total_connections, backend.requests, other.requests) == (0, [], [])
        await backend.stop()
        await other.stop()
    run_test(main())


def test_nothing_is_sent_for_a_client_that_disconnects_during_several_connects() -> None:
    async def main() -> None:
        async with proxy(*range(1000)) as (harness, backend, loop):
            client = await Client.connect(harness.port)
            client.send("pay", b"left")
            await wait_until(lambda: harness.proxy.pool.slow_connect_count >= 2)
            client.writer.close()
            await wait_until(lambda: harness.ended_attempts() != [])
            connect_count = loop.connect_count
            loop.connections_allowed.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert [(e.outcome, e.request_finished) for e in harness.ended_attempts()] == [
                (Outcome.NOT_SENT, True)
            ]
            assert (loop.connect_count, len(harness.proxy.pool.backends["b"].idle_connections)) == (
                connect_count, connect_count)
            assert backend.requests == []
    run_test(main())


def test_a_call_that_times_out_while_it_waits_for_a_connection_is_not_sent() -> None:
    """The request is rejected with 503, and the timeout is not counted as a failure of the backend."""
    async def main() -> None:
        async with proxy(*range(1000)) as (harness, backend, loop):
            client = await Client.connect(harness.port)
            client.send("pay", b"x", "200m")
            assert await client.read_status() == 503
            assert {e.outcome for e in harness.ended_attempts()} == {Outcome.NOT_SENT}
            assert harness.ended_attempts()[0].time_to_send_ms == harness.ended_attempts()[0].elapsed_ms
            loop.connections_allowed.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert backend.requests == []
    run_test(main())


@pytest.mark.parametrize("slow", [True, False])
def test_a_keyed_retry_is_not_sent_after_the_deduplication_window(slow: bool) -> None:
    """Backends drop duplicates only within the window, so a later retry could take effect a second time."""
    window_ms = 150.0
    order = {"name": "order", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "by_key",
             "group": "all", "windowMs": window_ms}

    async def main() -> None:
        # The arguments number the connects that are slow: all but the first, or none (an empty range).
        async with proxy(*range(1, 1000 if slow else 1), profiles=[order]) as (harness, backend, loop):
            backend.scripted_responses = [make_response(500, b"x", b"Connection: close")]
            client = await Client.connect(harness.port)
            client.send("order", b"x")
            first = await harness.wait_for_ended_attempt(1)
            ended_ms = harness.proxy.clock.now()
            if slow:
                await wait_until(lambda: harness.proxy.clock.now() > ended_ms + window_ms)
                loop.connections_allowed.set()
            assert await client.read_status() == (503 if slow else 200)
            second = await harness.wait_for_ended_attempt(2)
            assert first.outcome is Outcome.ERROR
            assert second.outcome is (Outcome.NOT_SENT if slow else Outcome.OK)
            assert len(backend.requests) == (1 if slow else 2)
    run_test(main())


def test_the_slow_threshold_follows_the_faster_connections_and_ignores_slow_ones() -> None:
    times = ConnectTimes()
    assert times.slow_threshold_ms() == MIN_SLOW_THRESHOLD_MS
    for i in range(MAX_SAMPLES):
        times.add(1000.0 if i % 3 else 0.2)  # Two in three connections are slow.
    assert times.slow_threshold_ms() == MIN_SLOW_THRESHOLD_MS
    for _ in range(MAX_SAMPLES):
        times.add(30.0)  # All backends now accept connections slowly, so this is normal.
    assert times.slow_threshold_ms() == SLOW_THRESHOLD_FACTOR * 30.0
