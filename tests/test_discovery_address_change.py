"""Discovery at another address or with a history of its own, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf import interface as api
from tests.proxy_harness import (
    Backend,
    Client,
    Discovery,
    ProxyHarness,
    discovery_entry,
    make_response,
    received_lists,
    run_with_timeout,
    synced_proxy,
    wait_until,
    with_timeout,
)


async def moved(harness: ProxyHarness, discovery: Discovery, held: int = 1) -> None:
    """Wait until the watch stands at that discovery: the changes since the list held first, then a watch."""
    await wait_until(lambda: len(discovery.request_lines) >= 2)
    assert discovery.request_lines[0] == b"GET /registry/instances?after=%d&wait_ms=0 HTTP/1.1" % held
    assert b"?after=" in discovery.request_lines[1]
    assert b"&wait_ms=4000 " in discovery.request_lines[1]


def test_a_moved_watch_goes_on_from_the_list_held_and_keeps_its_state() -> None:
    """Guards against full lists for all proxies at once, which take longer than the list held may be used."""
    async def main() -> None:
        backend, other = await Backend().start(), await Discovery().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(backend.request_received.wait())
            record = harness.proxy.driver.balancer.host_set.servers["b"]
            harness.proxy.watch.change_address(("127.0.0.1", other.port))
            assert harness.proxy.watch.initialized  # it stays in service
            await wait_until(lambda: len(other.request_lines) == 1)
            harness.discovery.publish(50, discovery_entry("late", 9))  # the old connection speaks up late
            other.publish(3, discovery_entry("c", 2), reset=False)
            await moved(harness, other)
            assert b"after=3&" in other.request_lines[1]
            assert [e.kind for e in received_lists(harness)] == [api.ListKind.CACHED, api.ListKind.CHANGES]
            assert harness.proxy.pool.has_endpoint("c")
            assert harness.proxy.driver.balancer.host_set.servers["b"] is record
            assert not harness.proxy.pool.has_endpoint("late")
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
            assert backend.connection_count == 1
            for writer in list(harness.discovery.connections):  # and its late loss touches nothing
                writer.transport.abort()
            other.publish(4, discovery_entry("d", 3))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("d"))
            assert len(other.connections) == 1
        await other.stop()
        await backend.stop()
    run_with_timeout(main())


def test_a_watch_moved_again_and_again_ends_at_the_last_address() -> None:
    async def main() -> None:
        first, last = await Discovery().start(), await Discovery().start()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            for _ in range(5):  # each while the connection before is still coming up
                harness.proxy.watch.change_address(("127.0.0.1", first.port))
                await asyncio.sleep(0)
                harness.proxy.watch.change_address(("127.0.0.1", last.port))
                await asyncio.sleep(0)
            await wait_until(lambda: len(last.request_lines) >= 1)
            last.publish(2, discovery_entry("e", 5), discovery_entry("b", 1, lifecycle="removed"))
            await moved(harness, last)
            assert len(last.connections) == 1
            assert harness.proxy.pool.has_endpoint("e")
            assert not harness.proxy.pool.has_endpoint("b")
            await wait_until(lambda: not first.connections)
        await first.stop()
        await last.stop()
    run_with_timeout(main())


def test_an_address_that_is_not_up_yet_is_tried_until_it_answers() -> None:
    async def main() -> None:
        other = await Discovery().start()
        port = other.port
        await other.stop()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            harness.proxy.watch.change_address(("127.0.0.1", port))
            await wait_until(lambda: harness.proxy.watch.failures >= 2)
            assert harness.proxy.watch.initialized
            assert harness.proxy.pool.has_endpoint("b")
            await other.start(port)
            other.responses.put_nowait(make_response(503))
            other.publish(2, discovery_entry("f", 6))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("f"))
            assert other.request_lines[:2] == [b"GET /registry/instances?after=1&wait_ms=0 HTTP/1.1"] * 2
        await other.stop()
    run_with_timeout(main())


def test_a_watch_moves_while_the_proxy_drains() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await Discovery().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(backend.request_received.wait())
            harness.proxy.drain()
            harness.proxy.watch.change_address(("127.0.0.1", other.port))
            other.publish(1, backend.discovery_entry("b"))
            await moved(harness, other)
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
        await other.stop()
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("moves", [True, False])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_changes_to_an_older_generation_are_left_and_the_full_list_is_taken(mode: str, moves: bool) -> None:
    """Guards against entries that the service has lost, as it started anew or another one answers."""
    async def main() -> None:
        other = await Discovery().start()
        async with synced_proxy(
            [discovery_entry("b", 1)], discovery=mode, contract={"askEveryMs": 1000.0}
        ) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            if moves:
                harness.proxy.watch.change_address(("127.0.0.1", other.port))
            asked = other if moves else harness.discovery
            calls = 0 if moves else 1
            await wait_until(lambda: len(asked.request_lines) == calls + 1)
            asked.publish(0, discovery_entry("lost", 9))
            await wait_until(lambda: len(asked.request_lines) == calls + 2)
            assert asked.request_lines[-1] == b"GET /registry/instances HTTP/1.1"
            assert harness.proxy.pool.has_endpoint("b")
            assert not harness.proxy.pool.has_endpoint("lost")
            asked.publish(0, discovery_entry("c", 2))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("c"))
            assert not harness.proxy.pool.has_endpoint("b")
            await wait_until(lambda: len(asked.request_lines) == calls + 3)
            assert b"?after=0&" in asked.request_lines[-1]
        await other.stop()
    run_with_timeout(main())
