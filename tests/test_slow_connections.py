"""Connections that come up late or never, over real sockets: further ones are dialled beside them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from honeywharf import interface as api
from honeywharf.net.clock import Clock
from honeywharf.net.connect_times import LATE_AFTER, MIN_SLOW_THRESHOLD_MS, SAMPLES, ConnectTimes
from honeywharf.net.connection_pool import ConnectionPool
from tests.proxy_harness import (
    Backend,
    Client,
    ProxyHarness,
    RecordingCall,
    make_response,
    run_with_timeout,
    synced_proxy,
    wait_until,
    with_timeout,
)

Outcome = api.Outcome


class Late:
    """The loop, except that the connections with these numbers, from 0, come up only once they are let.

    All others fail with `fault`, where one is set.
    """

    fault: OSError | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop, *numbers: int) -> None:
        self.loop, self.numbers, self.dialled = loop, numbers, 0
        self.let = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        number, self.dialled = self.dialled, self.dialled + 1
        if number in self.numbers:
            await self.let.wait()
        elif self.fault is not None:
            raise self.fault
        return await self.loop.create_connection(*args)


def make_pool(
    backend: Backend, *late: int, most: int = 10, timeout_ms: float = 60000.0,
) -> tuple[ConnectionPool, Late]:
    loop = Late(asyncio.get_running_loop(), *late)
    limits = api.Limits(connect_timeout_ms=timeout_ms)
    pool = ConnectionPool(loop, Clock(), limits, most)  # type: ignore[arg-type]
    pool.set_endpoint("b", ("127.0.0.1", backend.port), None, accepts_calls=True)
    return pool, loop


def start(pool: ConnectionPool, *bodies: bytes) -> list[RecordingCall]:
    calls = [RecordingCall(body) for body in bodies]
    for call in calls:
        pool.start(call)
    return calls


@asynccontextmanager
async def proxy(*late: int, **changes: Any) -> AsyncIterator[tuple[ProxyHarness, Backend, Late]]:
    """A running proxy with one backend; its connections with these numbers come up only once they are let."""
    backend = await Backend().start()
    changes = {"bounds": {"connectTimeoutMs": 60000.0}, **changes}
    async with synced_proxy([backend.discovery_entry("b")], **changes) as harness:
        loop = Late(harness.proxy.loop, *late)
        harness.proxy.pool.loop = loop  # type: ignore[assignment]
        yield harness, backend, loop
    await backend.stop()


@pytest.mark.parametrize("late", [1, 2, 3])
def test_a_call_leaves_on_a_further_connection_while_earlier_ones_are_late(late: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, *range(late))
        (call,) = start(pool, b"once")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.dialled, pool.slow_connect_count) == ([Outcome.OK], late + 1, late)
        loop.let.set()
        await wait_until(lambda: backend.connection_count == late + 1)
        await wait_until(lambda: len(pool.backends["b"].idle) == late + 1)
        others = start(pool, *[b"%d" % i for i in range(late)])
        for other in others:  # each on one of the connections that came up late
            await with_timeout(other.finished.wait())
        assert loop.dialled == late + 1
        assert sorted(body for _, _, body in backend.requests) == sorted(
            [b"once", *[b"%d" % i for i in range(late)]])
        await backend.stop()
    run_with_timeout(main())


def test_a_backend_whose_first_connection_never_comes_up_serves_the_request() -> None:
    async def main() -> None:
        async with proxy(0) as (harness, backend, _):
            client = await Client.connect(harness.port)
            client.send("pay", b"x")
            assert await client.read_status() == 200
            assert [e.outcome for e in harness.ended_attempts()] == [Outcome.OK]
            assert len(backend.requests) == 1
    run_with_timeout(main())


def test_a_backend_that_closes_after_each_answer_is_reached_past_late_connections() -> None:
    async def main() -> None:
        async with proxy(1, 3) as (harness, backend, loop):
            backend.default_response = make_response(200, b"x", b"Connection: close")
            client = await Client.connect(harness.port)
            for _ in range(3):
                client.send("pay", b"x")
                assert await client.read_status() == 200
            assert {e.outcome for e in harness.ended_attempts()} == {Outcome.OK}
            assert (loop.dialled, len(backend.requests)) == (5, 3)
    run_with_timeout(main())


def test_a_call_that_waits_takes_a_connection_that_another_call_frees() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.scripted_responses = [None]
        pool, loop = make_pool(backend, 1, most=2)
        first, second = start(pool, b"first", b"second")
        await with_timeout(backend.request_received.wait())
        await wait_until(lambda: pool.slow_connect_count == 1)
        for writer in list(backend.writers):
            writer.write(make_response())
        await with_timeout(second.finished.wait())
        assert (first.outcomes, second.outcomes, loop.dialled) == ([Outcome.OK], [Outcome.OK], 2)
        assert [body for _, _, body in backend.requests] == [b"first", b"second"]
        await backend.stop()
    run_with_timeout(main())


def test_further_connections_keep_to_the_bound_and_close_no_idle_one() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        pool, loop = make_pool(backend, 1, most=2)
        pool.set_endpoint("other", ("127.0.0.1", other.port), None, accepts_calls=True)
        kept = RecordingCall(b"")
        kept.endpoint = "other"
        pool.start(kept)
        await with_timeout(kept.finished.wait())
        (call,) = start(pool, b"")
        await wait_until(lambda: pool.slow_connect_count == 1)
        assert (loop.dialled, pool.count, len(pool.backends["other"].idle)) == (2, 2, 1)
        loop.let.set()
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.OK]
        await backend.stop()
        await other.stop()
    run_with_timeout(main())


def test_a_backend_that_never_comes_up_is_dialled_ever_more_rarely() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, *range(1000), timeout_ms=300.0)
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert call.outcomes == [Outcome.CONNECT_TIMEOUT]
        assert 2 <= loop.dialled <= 6  # after 0, 10, 30, 70, 150 ms, and none waits that long again
        before = loop.dialled
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert loop.dialled <= before + 2
        loop.let.set()
        await wait_until(lambda: not pool.connect_tasks)
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, pool.backends["b"].late_in_a_row) == ([Outcome.OK], 0)
        await backend.stop()
    run_with_timeout(main())


def test_a_backend_that_refuses_while_a_connection_is_late_is_not_dialled_over_and_over() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, 0)
        loop.fault = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        (call,) = start(pool, b"")
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.dialled) == ([Outcome.CONNECT_FAILED], 2)
        await backend.stop()
    run_with_timeout(main())


def test_a_lack_of_descriptors_ends_no_call_whose_connection_still_comes_up() -> None:
    async def main() -> None:
        backend = await Backend().start()
        pool, loop = make_pool(backend, 0)
        loop.fault = OSError(errno.EMFILE, "no descriptor")
        (call,) = start(pool, b"")
        await wait_until(lambda: loop.dialled == 2 and len(pool.connect_tasks) == 1)
        loop.let.set()
        await with_timeout(call.finished.wait())
        assert (call.outcomes, loop.dialled) == ([Outcome.OK], 2)
        pool.backends["b"].idle[0].answered_ms += 1e6  # as if it never settled
        (call,) = start(pool, b"")  # and where none does, the backend is not to blame
        await with_timeout(call.finished.wait())
        assert (call.outcomes, pool.count) == ([Outcome.NOT_SENT], 1)
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("change", ["drains", "leaves", "starts anew", "moves"])
def test_a_change_of_the_backend_ends_what_waits_at_once(change: str) -> None:
    """All connections are still coming up when the word comes, and nothing leaves on them later."""
    async def main() -> None:
        backend, other = await Backend().start(), await Backend().start()
        pool, loop = make_pool(backend, *range(1000))
        calls = start(pool, b"1", b"2")
        await wait_until(lambda: pool.slow_connect_count >= 3)
        where = ("127.0.0.1", other.port if change == "moves" else backend.port)
        if change == "leaves":
            pool.remove_endpoint("b")
        else:
            pool.set_endpoint(
                "b", where, 2.0 if change == "starts anew" else None, accepts_calls=change != "drains")
        for call in calls:
            await with_timeout(call.finished.wait())
            assert call.outcomes == [Outcome.NOT_SENT]
        loop.let.set()
        await wait_until(lambda: not pool.connect_tasks)
        await wait_until(lambda: backend.closed_connection_count == loop.dialled)
        assert (pool.count, backend.requests, other.requests) == (0, [], [])
        await backend.stop()
        await other.stop()
    run_with_timeout(main())


def test_a_client_that_leaves_while_several_connections_come_up_has_nothing_sent_on() -> None:
    async def main() -> None:
        async with proxy(*range(1000)) as (harness, backend, loop):
            client = await Client.connect(harness.port)
            client.send("pay", b"left")
            await wait_until(lambda: harness.proxy.pool.slow_connect_count >= 2)
            client.writer.close()
            await wait_until(lambda: harness.ended_attempts() != [])
            dialled = loop.dialled
            loop.let.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert [(e.outcome, e.request_finished) for e in harness.ended_attempts()] == [
                (Outcome.NOT_SENT, True)
            ]
            assert (loop.dialled, len(harness.proxy.pool.backends["b"].idle)) == (dialled, dialled)
            assert backend.requests == []
    run_with_timeout(main())


def test_a_call_whose_time_runs_out_before_it_left_has_run_nothing() -> None:
    """Guards against failing, and blaming a backend for, a request that could have been refused."""
    async def main() -> None:
        async with proxy(*range(1000)) as (harness, backend, loop):
            client = await Client.connect(harness.port)
            client.send("pay", b"x", "200m")
            assert await client.read_status() == 503
            assert {e.outcome for e in harness.ended_attempts()} == {Outcome.NOT_SENT}
            assert harness.ended_attempts()[0].time_to_send_ms == harness.ended_attempts()[0].elapsed_ms
            loop.let.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert backend.requests == []
    run_with_timeout(main())


@pytest.mark.parametrize("late", [True, False])
def test_a_keyed_repeat_whose_connection_outlasts_the_window_does_not_leave(late: bool) -> None:
    """Guards against an effect twice: backends drop repeats within the window alone."""
    window_ms = 150.0
    order = {"name": "order", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "by_key",
             "group": "all", "windowMs": window_ms}

    async def main() -> None:
        async with proxy(*range(1, 1000 if late else 1), profiles=[order]) as (harness, backend, loop):
            backend.scripted_responses = [make_response(500, b"x", b"Connection: close")]
            client = await Client.connect(harness.port)
            client.send("order", b"x")
            first = await harness.wait_for_ended_attempt(1)
            ended_ms = harness.proxy.clock.now()
            if late:
                await wait_until(lambda: harness.proxy.clock.now() > ended_ms + window_ms)
                loop.let.set()
            assert await client.read_status() == (503 if late else 200)
            second = await harness.wait_for_ended_attempt(2)
            assert first.outcome is Outcome.ERROR
            assert second.outcome is (Outcome.NOT_SENT if late else Outcome.OK)
            assert len(backend.requests) == (1 if late else 2)
    run_with_timeout(main())


def test_the_patience_follows_the_quicker_connections_and_survives_many_late_ones() -> None:
    times = ConnectTimes()
    assert times.patience_ms() == MIN_SLOW_THRESHOLD_MS
    for i in range(SAMPLES):
        times.add(1000.0 if i % 3 else 0.2)  # two in three are late
    assert times.patience_ms() == MIN_SLOW_THRESHOLD_MS
    for _ in range(SAMPLES):
        times.add(30.0)  # all backends are slow to accept: that is how they are
    assert times.patience_ms() == LATE_AFTER * 30.0
