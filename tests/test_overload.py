"""What the proxy takes on while its memory, its descriptors or its time are scarce."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, strategies as st

from honeywharf.net import frontend, memory_budget, overload_controller
from honeywharf.net.memory_budget import MemoryBudget
from honeywharf.policy.overload import (
    LOOP_DELAY_SAMPLES,
    MAX_LOOP_DELAY_MS,
    MIN_CONNECTION_FRACTION,
    MIN_FREE_DESCRIPTORS,
    MemoryPressure,
    OverloadManager,
    ResourceLimits,
    ResourceUsage,
)
from tests.proxy_harness import (
    Backend,
    Client,
    RecordingCall,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
)

LIMITS = ResourceLimits(memory_bytes=32_000_000, descriptors=1024, client_connections=500)


def usage(resident_bytes: int = 0, descriptors: int = 0) -> ResourceUsage:
    return ResourceUsage(resident_bytes, descriptors, 0.0)


@given(st.integers(0, 40_000_000), st.integers(0, 40_000_000))
def test_the_more_memory_is_held_the_less_is_taken_on(first: int, second: int) -> None:
    manager = OverloadManager(LIMITS)
    less, more = (manager.state(usage(resident), 100) for resident in sorted((first, second)))
    assert 0.0 <= more.memory_fraction <= less.memory_fraction <= 1.0
    minimum = MIN_CONNECTION_FRACTION * LIMITS.client_connections
    assert minimum <= more.max_client_connections <= less.max_client_connections <= LIMITS.client_connections
    for state in (less, more):
        assert (state.memory_pressure is MemoryPressure.NONE) == (state.memory_fraction == 1.0)
        assert (state.memory_pressure is MemoryPressure.EXHAUSTED) == (state.memory_fraction == 0.0)


def test_pressure_is_exhausted_below_the_limit_and_none_where_nothing_is_known() -> None:
    manager = OverloadManager(LIMITS)
    assert manager.state(usage(31_000_000), 0).memory_pressure is MemoryPressure.EXHAUSTED
    assert manager.state(usage(0), 0).memory_pressure is MemoryPressure.NONE


@given(st.integers(0, 1024), st.integers(0, 500))
def test_connections_are_closed_until_enough_descriptors_are_free(used: int, connections: int) -> None:
    state = OverloadManager(LIMITS).state(usage(descriptors=used), connections)
    freed = max(0, connections - state.max_client_connections)
    free = LIMITS.descriptors - used + freed
    assert free >= MIN_FREE_DESCRIPTORS or state.max_client_connections <= 1


def test_requests_are_refused_only_while_the_event_loop_is_late_again_and_again() -> None:
    manager = OverloadManager(LIMITS)
    manager.record_loop_delay(10 * MAX_LOOP_DELAY_MS)
    assert not manager.state(usage(), 0).refuse_requests
    for _ in range(LOOP_DELAY_SAMPLES - 1):
        manager.record_loop_delay(MAX_LOOP_DELAY_MS)
    assert manager.state(usage(), 0).refuse_requests
    manager.record_loop_delay(0.0)
    assert not manager.state(usage(), 0).refuse_requests


def test_a_budget_shrinks_to_its_minimum_and_not_below() -> None:
    budget = MemoryBudget(1_000_000)
    budget.change(600_000)
    budget.fraction = 0.5
    assert budget.exceeded
    budget.change(memory_budget.MIN_BUDGET_BYTES - 600_000)
    budget.fraction = 0.0
    assert not budget.exceeded
    budget.limit_bytes = 1000
    assert budget.exceeded


def test_clients_that_hold_most_or_wait_longest_make_room_while_memory_is_scarce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "MIN_EVICTION_AGE_MS", 0.0)
    monkeypatch.setattr(memory_budget, "MIN_BUDGET_BYTES", 20_000)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            clients = harness.proxy.frontend
            served = await Client.connect(harness.port)
            served.send("pay")
            await wait_until(lambda: len(backend.requests) == 1)
            large = await Client.connect(harness.port)
            large.writer.write(
                b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + b"x" * 50_000)
            await wait_until(lambda: clients.client_memory.used_bytes > 50_000)
            idle = [await Client.connect(harness.port) for _ in range(5)]
            await wait_until(lambda: len(clients.awaiting_first_byte) == 5)
            await asyncio.sleep(0.01)
            clients.limit(memory_fraction=0.0, max_connections=2, refuse_requests=False)
            assert await large.read_status() == 503
            assert [await client.reaches_eof() for client in idle] == [True] * 5
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await served.read_status() == 200
            clients.limit(memory_fraction=1.0, max_connections=2, refuse_requests=True)
            served.send("pay")
            assert await served.read_status() == 503
            assert clients.counts["refused overloaded"] == 1
        await backend.stop()
    run_test(main())


def test_the_largest_incomplete_response_is_dropped_first() -> None:
    async def main() -> None:
        sizes = (100_000, 300_000)
        backends = [await Backend().start() for _ in sizes]
        for backend, size in zip(backends, sizes, strict=True):
            backend.default_response = make_response(200, b"x" * 400_000)[:size]
        entries = [b.discovery_entry(f"b{size}") for b, size in zip(backends, sizes, strict=True)]
        async with synced_proxy(entries, bounds={"mostTries": 1}) as harness:
            pool = harness.proxy.pool
            for size in sizes:
                pool.start(RecordingCall(b"", f"b{size}"))
            await wait_until(lambda: pool.response_memory.used_bytes == sum(sizes))
            pool.response_memory.limit_bytes = 200_000
            pool.limit(memory_fraction=1.0)
            assert pool.response_memory.used_bytes == min(sizes)
            assert pool.counts["responses dropped for memory"] == 1
        for backend in backends:
            await backend.stop()
    run_test(main())


def test_the_process_is_measured() -> None:
    async def main() -> None:
        async with synced_proxy([]) as harness:
            monitor = harness.proxy.monitor
            await wait_until(lambda: monitor.descriptor_count > 0)
            assert monitor.usage().resident_bytes > 1_000_000
            assert harness.proxy.overload.check() is MemoryPressure.NONE
    run_test(main())


def test_the_process_is_measured_again_as_clients_come_and_bytes_are_received(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crowd that takes all of the memory between two regular measurements."""
    monkeypatch.setattr(overload_controller, "MIN_CHECK_INTERVAL_MS", 0.0)

    async def main() -> None:
        async with synced_proxy([]) as harness:
            measured: list[ResourceUsage] = []
            measure = harness.proxy.monitor.usage

            def record() -> ResourceUsage:
                measured.append(measure())
                return measured[-1]

            monkeypatch.setattr(harness.proxy.monitor, "usage", record)
            monkeypatch.setattr(harness.proxy.monitor, "on_tick", lambda: None)
            harness.proxy.frontend.client_memory.change(memory_budget.GROWTH_PER_CHECK_BYTES - 1)
            assert len(measured) == 0
            harness.proxy.frontend.client_memory.change(1)
            harness.proxy.pool.response_memory.change(memory_budget.GROWTH_PER_CHECK_BYTES)
            assert len(measured) == 2
            for _ in range(frontend.CONNECTIONS_PER_CHECK):
                await Client.connect(harness.port)
            await wait_until(lambda: len(measured) == 3)
    run_test(main())
