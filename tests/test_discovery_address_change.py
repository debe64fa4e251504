"""Discovery at a new address, or restarted with older generations, over real sockets.

A poll is one HTTP request to discovery. A long poll waits at discovery until there is a change.
"""

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
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)


async def wait_for_long_poll(harness: ProxyHarness, discovery: Discovery, generation: int = 1) -> None:
    """Wait until the proxy has sent an immediate poll from `generation`, and then a long poll."""
    await wait_until(lambda: len(discovery.request_lines) >= 2)
    assert discovery.request_lines[0] == b"GET /registry/instances?after=%d&wait_ms=0 HTTP/1.1" % generation
    assert b"?after=" in discovery.request_lines[1]
    assert b"&wait_ms=4000 " in discovery.request_lines[1]


def test_at_a_new_address_the_proxy_continues_from_its_current_generation_and_keeps_its_state() -> None:
    """If all proxies requested full lists at once, their current lists would expire before they got them."""
    async def main() -> None:
        backend, new_discovery = await Backend().start(), await Discovery().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(backend.request_received.wait())
            server = harness.proxy.driver.balancer.host_set.servers["b"]
            harness.proxy.discovery_client.change_address(("127.0.0.1", new_discovery.port))
            assert harness.proxy.discovery_client.initialized  # The proxy stays ready.
            await wait_until(lambda: len(new_discovery.request_lines) == 1)
            # A late answer on the old connection is ignored, and so is the loss of that connection below.
            harness.discovery.publish(50, discovery_entry("late", 9))
            new_discovery.publish(3, discovery_entry("c", 2), reset=False)
            await wait_for_long_poll(harness, new_discovery)
            assert b"after=3&" in new_discovery.request_lines[1]
            assert [e.kind for e in received_lists(harness)] == [api.ListKind.CACHED, api.ListKind.CHANGES]
            assert harness.proxy.pool.has_endpoint("c")
            assert harness.proxy.driver.balancer.host_set.servers["b"] is server
            assert not harness.proxy.pool.has_endpoint("late")
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
            assert backend.connection_count == 1
            for writer in list(harness.discovery.connections):
                writer.transport.abort()
            new_discovery.publish(4, discovery_entry("d", 3))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("d"))
            assert len(new_discovery.connections) == 1
        await new_discovery.stop()
        await backend.stop()
    run_test(main())


def test_after_several_quick_address_changes_the_proxy_polls_the_last_address() -> None:
    async def main() -> None:
        first, last = await Discovery().start(), await Discovery().start()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            for _ in range(5):  # Each change comes before the previous connection is established.
                harness.proxy.discovery_client.change_address(("127.0.0.1", first.port))
                await asyncio.sleep(0)
                harness.proxy.discovery_client.change_address(("127.0.0.1", last.port))
                await asyncio.sleep(0)
            await wait_until(lambda: len(last.request_lines) >= 1)
            last.publish(2, discovery_entry("e", 5), discovery_entry("b", 1, lifecycle="removed"))
            await wait_for_long_poll(harness, last)
            assert len(last.connections) == 1
            assert harness.proxy.pool.has_endpoint("e")
            assert not harness.proxy.pool.has_endpoint("b")
            await wait_until(lambda: not first.connections)
        await first.stop()
        await last.stop()
    run_test(main())


def test_the_proxy_retries_a_new_address_until_discovery_answers_there() -> None:
    async def main() -> None:
        new_discovery = await Discovery().start()
        port = new_discovery.port
        await new_discovery.stop()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            harness.proxy.discovery_client.change_address(("127.0.0.1", port))
            await wait_until(lambda: harness.proxy.discovery_client.backoff.failure_count >= 2)
            assert harness.proxy.discovery_client.initialized
            assert harness.proxy.pool.has_endpoint("b")
            await new_discovery.start(port)
            new_discovery.responses.put_nowait(make_response(503))
            new_discovery.publish(2, discovery_entry("f", 6))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("f"))
            assert new_discovery.request_lines[:2] == [
                b"GET /registry/instances?after=1&wait_ms=0 HTTP/1.1"] * 2
        await new_discovery.stop()
    run_test(main())


def test_the_address_can_change_while_the_proxy_drains() -> None:
    async def main() -> None:
        backend, new_discovery = await Backend().start(), await Discovery().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(backend.request_received.wait())
            harness.proxy.drain()
            harness.proxy.discovery_client.change_address(("127.0.0.1", new_discovery.port))
            new_discovery.publish(1, backend.discovery_entry("b"))
            await wait_for_long_poll(harness, new_discovery)
            for writer in list(backend.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
        await new_discovery.stop()
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("address_changes", [True, False])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_on_an_update_with_an_older_generation_the_proxy_requests_the_full_list(
    mode: str, address_changes: bool,
) -> None:
    """Discovery has lost its history in a restart, or another service answers at its address.

    Without a full list, the proxy would keep entries that discovery does not list any more.
    """
    async def main() -> None:
        new_discovery = await Discovery().start()
        async with synced_proxy(
            [discovery_entry("b", 1)], discovery=mode, contract={"askEveryMs": 1000.0}
        ) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            if address_changes:
                harness.proxy.discovery_client.change_address(("127.0.0.1", new_discovery.port))
            current_discovery = new_discovery if address_changes else harness.discovery
            earlier_polls = 0 if address_changes else 1
            await wait_until(lambda: len(current_discovery.request_lines) == earlier_polls + 1)
            current_discovery.publish(0, discovery_entry("lost", 9))
            await wait_until(lambda: len(current_discovery.request_lines) == earlier_polls + 2)
            assert current_discovery.request_lines[-1] == b"GET /registry/instances HTTP/1.1"
            assert harness.proxy.pool.has_endpoint("b")
            assert not harness.proxy.pool.has_endpoint("lost")
            current_discovery.publish(0, discovery_entry("c", 2))
            await wait_until(lambda: harness.proxy.pool.has_endpoint("c"))
            assert not harness.proxy.pool.has_endpoint("b")
            await wait_until(lambda: len(current_discovery.request_lines) == earlier_polls + 3)
            assert b"?after=0&" in current_discovery.request_lines[-1]
        await new_discovery.stop()
    run_test(main())
