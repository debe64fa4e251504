"""The discovery client over real sockets, and the effect of endpoint lists on the connection pool.

A poll is one HTTP request to discovery. A watch is a sequence of consecutive long polls,
each of which waits at discovery until there is a change.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from honeywharf import __main__ as main_module, interface as api
from honeywharf.net import discovery as discovery_module
from honeywharf.net.endpoint_directory import parse_entry
from tests.proxy_harness import (
    Backend,
    Client,
    Discovery,
    ProxyHarness,
    discovery_entry,
    make_config,
    make_response,
    received_lists,
    run_test,
    started_proxy,
    synced_proxy,
    wait_for_list,
    wait_until,
    with_timeout,
)


def test_entries_are_parsed_to_endpoints_with_addresses() -> None:
    endpoint, address = parse_entry(
        discovery_entry("s", 3000, "y", "draining", startedAtMs=17, weight=1.5, cell=3)
    )
    assert endpoint == api.Endpoint("s", "y", api.EndpointState.DRAINING, 3, 17.0, 1.5, "k")
    assert address == ("127.0.0.1", 3000)
    assert parse_entry(discovery_entry("s", 1))[0].started_ms is None
    removed = {"instanceId": "s", "lifecycle": "removed"}
    assert parse_entry(removed)[0].state is api.EndpointState.GONE


@pytest.mark.parametrize("invalid", [
    {"lifecycle": "asleep"}, {"hostPort": "nowhere"}, {"hostPort": None}, {"hostPort": "h:99999"},
    {"instanceId": 5}, {"instanceId": ""}, {"startedAtMs": "x"}, {"weight": []}, {"cell": "c"},
    {"startedAtMs": -1}, {"startedAtMs": 1e300}, {"weight": -0.5}, {"weight": float("nan")},
    {"weight": float("inf")},
])
def test_an_invalid_entry_is_rejected(invalid: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        parse_entry({**discovery_entry("s", 3000), **invalid})


def test_the_proxy_continues_polling_from_the_last_generation_on_the_same_connection() -> None:
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            assert harness.discovery.request_lines[0].startswith(
                b"GET /registry/instances?after=1&wait_ms=0 "
            )
            assert harness.discovery.request_lines[1].startswith(
                b"GET /registry/instances?after=1&wait_ms=4000 "
            )
            harness.discovery.publish(7, discovery_entry("c", 2))
            event = await wait_for_list(harness, 2)
            assert (event.kind, event.generation) == (api.ListKind.CHANGES, 7)
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            assert b"after=7&" in harness.discovery.request_lines[2]
            assert len(harness.discovery.connections) == 1
    run_test(main())


@pytest.mark.parametrize("changed_entry_count", [0, 1])
def test_a_poll_started_while_a_list_is_processed_still_times_out(
    changed_entry_count: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Processing the list must not cancel the timer of the poll that was sent meanwhile.

    Otherwise, if that poll is never answered, no other poll ever follows it.
    """
    monkeypatch.setattr(discovery_module, "FULL_LIST_TIMEOUT_MS", 50.0)

    async def main() -> None:
        async with synced_proxy(
            [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1000.0}
        ) as harness:
            watch, notify = harness.proxy.discovery_client, harness.proxy.discovery_client.notify
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)

            def notify_and_fetch(event: api.EndpointsListed | api.ListExpiryChanged) -> None:
                notify(event)
                watch.notify = notify
                watch.fetch()

            watch.notify = notify_and_fetch
            harness.discovery.publish(2, *[discovery_entry("c", 2)] * changed_entry_count)
            # The poll for the full list is never answered and times out, and another poll follows.
            await wait_until(lambda: len(harness.discovery.request_lines) >= 4)
            assert harness.discovery.request_lines[2].startswith(b"GET /registry/instances HTTP")
    run_test(main())


def test_a_draining_backend_gets_no_new_requests_and_a_full_list_replaces_the_current_one() -> None:
    async def main() -> None:
        one, two = await Backend().start(), await Backend().start()
        async with synced_proxy([one.discovery_entry("one"), two.discovery_entry("two")]) as harness:
            client = await Client.connect(harness.port)
            harness.discovery.publish(2, one.discovery_entry("one", lifecycle="draining"))
            await wait_for_list(harness, 2)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert one.requests == []
            harness.discovery.publish(3, one.discovery_entry("one"), reset=True)
            event = await wait_for_list(harness, 3)
            assert event.kind is api.ListKind.FULL
            assert not harness.proxy.pool.has_endpoint("two")
            for _ in range(3):
                client.send()
                assert await client.read_status() == 200
            assert len(one.requests) == 3
        await one.stop()
        await two.stop()
    run_test(main())


@pytest.mark.parametrize("change", [{"lifecycle": "removed"}, {"lifecycle": "draining"}, {"startedAtMs": 99}])
def test_idle_connections_to_a_removed_draining_or_restarted_backend_are_closed(
    change: dict[str, Any],
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            harness.discovery.publish(2, {**backend.discovery_entry("b"), **change})
            await wait_for_list(harness, 2)
            await wait_until(lambda: backend.closed_connection_count == 1)
            assert harness.proxy.pool.has_endpoint("b") == (change.get("lifecycle") != "removed")
        await backend.stop()
    run_test(main())


def test_a_connection_in_use_is_not_reused_after_its_backend_has_changed_address() -> None:
    async def main() -> None:
        old, new = await Backend().start(), await Backend().start()
        old.default_response = None
        async with synced_proxy([old.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            client.send()
            await with_timeout(old.request_received.wait())
            harness.discovery.publish(2, new.discovery_entry("b"))
            await wait_for_list(harness, 2)
            for writer in list(old.writers):
                writer.write(make_response())
            assert await client.read_status() == 200
            client.send()
            assert await client.read_status() == 200
            assert (len(old.requests), len(new.requests)) == (1, 1)
            await wait_until(lambda: old.closed_connection_count == 1)
        await old.stop()
        await new.stop()
    run_test(main())


@pytest.mark.parametrize(
    "invalid",
    [
        b"garbage\r\n\r\n",
        make_response(503),
        make_response(200, b"{"),
        make_response(200, b"[]"),
        make_response(200, b'{"instances":3}'),
        make_response(200, b'{"generation":"x","instances":[]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{",
    ],
)
def test_the_proxy_polls_again_after_an_invalid_response(invalid: bytes) -> None:
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            harness.discovery.responses.put_nowait(invalid)
            if invalid.endswith(b"{") and b"Length: 5" in invalid:
                await wait_until(lambda: harness.discovery.responses.empty())
                for writer in list(harness.discovery.connections):
                    await writer.drain()
                    writer.close()
            await wait_until(lambda: len(harness.discovery.request_lines) >= 3)
            # An invalid entry is skipped, and the valid one is applied.
            harness.discovery.publish(4, {"odd": 1}, discovery_entry("c", 2))
            event = await wait_for_list(harness, 2)
            assert [e.id for e in event.endpoints] == ["c"]
            assert harness.proxy.pool.has_endpoint("b")
    run_test(main())


def test_the_proxy_is_ready_only_once_discovery_has_answered() -> None:
    async def main() -> None:
        async with started_proxy([]) as harness:
            await with_timeout(harness.discovery.request_received.wait())
            readiness_check = b"GET /health/ready HTTP/1.1\r\n\r\n"
            client = await Client.connect(harness.port)
            assert await client.round_trip(readiness_check) == 503
            assert [e.kind for e in received_lists(harness)] == [api.ListKind.CACHED]
            harness.discovery.publish(1, discovery_entry("b", 1))
            await wait_until(lambda: harness.proxy.discovery_client.initialized)
            assert await client.round_trip(readiness_check) == 200
    run_test(main())


def test_a_poll_queued_by_the_discovery_server_has_a_long_enough_timeout() -> None:
    """A proxy that gave up after a second and polled again would go back to the end of the queue."""
    async def main() -> None:
        new_discovery = await Discovery().start()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            harness.proxy.discovery_client.change_address(("127.0.0.1", new_discovery.port))
            await with_timeout(new_discovery.request_received.wait())
            timer = harness.proxy.discovery_client.poll_timer
            assert timer is not None
            assert 3.0 < timer.when() - asyncio.get_running_loop().time() < 6.0
        await new_discovery.stop()
    run_test(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("discovery_state", ["down", "silent", "rejecting"])
def test_a_proxy_without_a_list_becomes_ready_after_the_first_list_timeout(
    mode: str, discovery_state: str, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has to be ready within 10 s of its start, so the timeout is well below that.

    Once ready, it rejects requests without delay, because it cannot send them without a list.
    """
    assert main_module.FIRST_LIST_TIMEOUT_S < 8
    monkeypatch.setattr(main_module, "FIRST_LIST_TIMEOUT_S", 1e6)

    async def main() -> None:
        discovery = await Discovery().start()
        port = discovery.port
        if discovery_state == "down":
            await discovery.stop()
        if discovery_state == "rejecting":  # Its queue is full.
            for _ in range(1000):
                discovery.responses.put_nowait(make_response(503))
        harness = ProxyHarness(make_config(port, [], discovery=mode), discovery)
        await harness.start()
        harness.proxy.discovery_client.watch()
        if discovery_state == "down":
            await wait_until(
                lambda: mode == "ask" or harness.proxy.discovery_client.backoff.failure_count >= 2)
        else:
            await with_timeout(discovery.request_received.wait())
        client = await Client.connect(harness.port)
        assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
        harness.proxy._on_first_list_timeout()
        assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        client.send()
        status_line, headers, _ = await client.read_response()
        assert status_line.split()[1] == b"503"
        assert b"retry-after" in headers
        assert harness.task is not None
        harness.task.cancel()
        await discovery.stop()
    run_test(main())


def test_with_polled_discovery_the_balancer_is_notified_of_failed_polls() -> None:
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            assert harness.discovery.request_lines == []
            harness.proxy.driver._execute(api.WatchEndpoints())
            await with_timeout(harness.discovery.request_received.wait())
            harness.discovery.responses.put_nowait(make_response(503))
            await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
            poll_count = len(harness.discovery.request_lines)
            harness.proxy.driver._execute(api.FetchEndpoints())
            await wait_until(lambda: len(harness.discovery.request_lines) > poll_count)
            assert harness.discovery.request_lines[-1].startswith(b"GET /registry/instances ")
            harness.discovery.publish(9, discovery_entry("c", 2))
            await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FULL)
            assert not harness.proxy.pool.has_endpoint("b")
        await asyncio.sleep(0)
    run_test(main())


def test_the_response_to_a_pending_long_poll_does_not_satisfy_a_full_list_request() -> None:
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            harness.proxy.driver._execute(api.FetchEndpoints())
            harness.discovery.publish(2, discovery_entry("c", 2))
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            assert harness.discovery.request_lines[2].startswith(b"GET /registry/instances ")
            assert harness.proxy.pool.has_endpoint("b")
            assert harness.proxy.pool.has_endpoint("c")
            harness.discovery.publish(2, discovery_entry("c", 2), reset=True)
            await wait_until(lambda: not harness.proxy.pool.has_endpoint("b"))
    run_test(main())


def test_a_rejected_poll_is_not_retried_by_the_discovery_client_itself() -> None:
    """Otherwise the proxy would skip the balancer's backoff, and all proxies would poll each second."""
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            for number in (1, 2):
                harness.discovery.responses.put_nowait(make_response(503))
                harness.proxy.discovery_client.watch()
                await wait_until(
                    lambda: sum(e.kind is api.ListKind.FAILED for e in received_lists(harness)) == number  # noqa: B023
                )
                # The next poll is up to the balancer.
                assert harness.proxy.discovery_client.poll_timer is None
            assert not harness.proxy.discovery_client.initialized
    run_test(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_poll_after_a_failure_does_not_wait_for_changes(mode: str) -> None:
    """Such a poll queues at discovery first, so a timeout computed from `wait_ms` could expire too early."""
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery=mode) as harness:
            harness.proxy.discovery_client.watch()
            harness.discovery.publish(1)
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            assert b"&wait_ms=4000 " in harness.discovery.request_lines[1]
            harness.discovery.responses.put_nowait(make_response(503))
            if mode == "ask":
                await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
                harness.proxy.discovery_client.watch()  # as the balancer requests
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            assert b"&wait_ms=0 " in harness.discovery.request_lines[2]
    run_test(main())


def test_with_a_discovery_agent_polls_are_retried_within_the_drain_grace_period() -> None:
    """A discovery agent (which pushes lists) was unreachable for long; its new list has a draining backend.

    The propagation deadline of the drain passes as soon as the agent returns. The proxy has to poll the agent
    within the drain grace period that starts then, so its backoff is at most half of that period.
    """
    async def main() -> None:
        draining, remaining = await Backend().start(), await Backend().start()
        discovery = await Discovery().start()
        port = discovery.port
        await discovery.stop()
        entries = [draining.discovery_entry("draining"), remaining.discovery_entry("remaining")]
        harness = ProxyHarness(make_config(port, entries, contract={"stopSendingWithinMs": 120.0}), discovery)
        await harness.start()
        # The backoff has reached its maximum.
        await wait_until(lambda: harness.proxy.discovery_client.backoff.failure_count >= 8)
        await wait_until(lambda: harness.proxy.discovery_client.connect_task is None)
        timer, now = harness.proxy.discovery_client.poll_timer, asyncio.get_running_loop().time()
        assert timer is not None
        # The longest backoff is half of `stopSendingWithinMs`, 60 ms. The other 10 ms are a margin.
        assert timer.when() - now <= 0.07
        await discovery.start(port)
        discovery.publish(2, draining.discovery_entry("draining", lifecycle="draining"))
        await wait_for_list(harness, 2)
        client = await Client.connect(harness.port)
        client.send()
        assert await client.read_status() == 200
        assert draining.requests == []
        assert harness.task is not None
        harness.task.cancel()
        for backend in (draining, remaining):
            await backend.stop()
        await discovery.stop()
    run_test(main())


def test_a_list_is_held_once_and_not_beyond_the_limit_of_its_entries() -> None:
    """Guards against lists that grow without end, and against a second copy of each entry."""
    async def main() -> None:
        backend = await Backend().start()
        entries = [backend.discovery_entry(name) for name in ("b", "c")]
        async with synced_proxy(entries) as harness:
            directory = harness.proxy.directory
            kept = dict(directory.entries)
            assert harness.proxy.configuration.cached_list == {}
            directory.max_endpoints = 3
            harness.discovery.publish(2, *entries, reset=True)
            await wait_until(lambda: directory.generation == 2)
            assert all(directory.entries[name] is entry for name, entry in kept.items())
            harness.discovery.publish(3, *[backend.discovery_entry(f"n{i}") for i in range(4)], reset=True)
            await wait_until(lambda: harness.proxy.discovery_client.counts["polls failed"] == 1)
            harness.discovery.publish(3, *[backend.discovery_entry(f"n{i}") for i in range(2)])
            await wait_until(lambda: harness.proxy.discovery_client.counts["polls failed"] == 2)
            assert directory.entries.keys() == kept.keys()
            harness.discovery.publish(3, backend.discovery_entry("d"))
            await wait_until(lambda: directory.generation == 3)
            assert len(directory.entries) == 3
        await backend.stop()
    run_test(main())
