"""The watch over real sockets, and what lists do to the pool."""

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
    run_with_timeout,
    started_proxy,
    synced_proxy,
    wait_for_list,
    wait_until,
    with_timeout,
)


def test_an_entry_in_the_modules_terms() -> None:
    entry, where = parse_entry(
        discovery_entry("s", 3000, "y", "draining", startedAtMs=17, weight=1.5, cell=3)
    )
    assert entry == api.Endpoint("s", "y", api.EndpointState.DRAINING, 3, 17.0, 1.5, "k")
    assert where == ("127.0.0.1", 3000)
    assert parse_entry(discovery_entry("s", 1))[0].started_ms is None
    gone = {"instanceId": "s", "lifecycle": "removed"}
    assert parse_entry(gone)[0].state is api.EndpointState.GONE


@pytest.mark.parametrize("bad", [
    {"lifecycle": "asleep"}, {"hostPort": "nowhere"}, {"hostPort": None}, {"hostPort": "h:99999"},
    {"instanceId": 5}, {"instanceId": ""}, {"startedAtMs": "x"}, {"weight": []}, {"cell": "c"},
    {"startedAtMs": -1}, {"startedAtMs": 1e300}, {"weight": -0.5}, {"weight": float("nan")},
    {"weight": float("inf")},
])
def test_a_senseless_entry_is_told_apart(bad: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        parse_entry({**discovery_entry("s", 3000), **bad})


def test_the_watch_goes_on_from_the_last_version_and_at_once() -> None:
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
    run_with_timeout(main())


@pytest.mark.parametrize("changes", [0, 1])
def test_a_poll_that_the_module_asks_for_upon_a_list_times_out_too(
    changes: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a poll that falls silent, with none after it, as the list before it took its timer."""
    monkeypatch.setattr(discovery_module, "FULL_LIST_TIMEOUT_MS", 50.0)

    async def main() -> None:
        async with synced_proxy(
            [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1000.0}
        ) as harness:
            watch, notify = harness.proxy.watch, harness.proxy.watch.notify
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)

            def ask(event: api.EndpointsListed | api.ListExpiryChanged) -> None:
                notify(event)
                watch.notify = notify
                watch.fetch()

            watch.notify = ask
            harness.discovery.publish(2, *[discovery_entry("c", 2)] * changes)
            # The full list, which is never answered, and the poll after it has timed out.
            await wait_until(lambda: len(harness.discovery.request_lines) >= 4)
            assert harness.discovery.request_lines[2].startswith(b"GET /registry/instances HTTP")
    run_with_timeout(main())


def test_a_drained_backend_gets_nothing_new_and_a_full_list_replaces() -> None:
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
    run_with_timeout(main())


@pytest.mark.parametrize("change", [{"lifecycle": "removed"}, {"lifecycle": "draining"}, {"startedAtMs": 99}])
def test_idle_connections_to_what_has_left_or_started_anew_are_closed(change: dict[str, Any]) -> None:
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
    run_with_timeout(main())


def test_a_connection_busy_while_its_backend_moves_is_not_kept_for_the_new_address() -> None:
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
    run_with_timeout(main())


@pytest.mark.parametrize(
    "bad",
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
def test_the_watch_comes_back_after_a_bad_answer(bad: bytes) -> None:
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            harness.discovery.responses.put_nowait(bad)
            if bad.endswith(b"{") and b"Length: 5" in bad:
                await wait_until(lambda: harness.discovery.responses.empty())
                for writer in list(harness.discovery.connections):
                    await writer.drain()
                    writer.close()
            await wait_until(lambda: len(harness.discovery.request_lines) >= 3)
            harness.discovery.publish(4, {"odd": 1}, discovery_entry("c", 2))  # the sound entry counts
            event = await wait_for_list(harness, 2)
            assert [e.id for e in event.endpoints] == ["c"]
            assert harness.proxy.pool.has_endpoint("b")
    run_with_timeout(main())


def test_ready_only_once_a_list_is_held() -> None:
    async def main() -> None:
        async with started_proxy([]) as harness:
            await with_timeout(harness.discovery.request_received.wait())
            ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
            client = await Client.connect(harness.port)
            assert await client.round_trip(ready) == 503
            assert [e.kind for e in received_lists(harness)] == [api.ListKind.CACHED]
            harness.discovery.publish(1, discovery_entry("b", 1))
            await wait_until(lambda: harness.proxy.watch.initialized)
            assert await client.round_trip(ready) == 200
    run_with_timeout(main())


def test_a_call_that_stands_in_line_is_not_given_up_soon() -> None:
    """Discovery takes calls in turn: whoever calls anew after a second goes back to the end of the line."""
    async def main() -> None:
        other = await Discovery().start()
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            harness.proxy.watch.change_address(("127.0.0.1", other.port))
            await with_timeout(other.request_received.wait())
            timer = harness.proxy.watch.poll_timer
            assert timer is not None
            assert 3.0 < timer.when() - asyncio.get_running_loop().time() < 6.0
        await other.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("discovery_is", ["down", "silent", "refusing"])
def test_without_a_list_a_proxy_is_not_ready_at_once_but_well_within_10_s(
    mode: str, discovery_is: str, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What comes then is refused at once: nothing can be sent without a list."""
    assert main_module.FIRST_LIST_TIMEOUT_S < 8
    monkeypatch.setattr(main_module, "FIRST_LIST_TIMEOUT_S", 1e6)

    async def main() -> None:
        discovery = await Discovery().start()
        port = discovery.port
        if discovery_is == "down":
            await discovery.stop()
        if discovery_is == "refusing":  # its line is full
            for _ in range(1000):
                discovery.responses.put_nowait(make_response(503))
        harness = ProxyHarness(make_config(port, [], discovery=mode), discovery)
        await harness.start()
        harness.proxy.watch.watch()
        if discovery_is == "down":
            await wait_until(lambda: mode == "ask" or harness.proxy.watch.failures >= 2)
        else:
            await with_timeout(discovery.request_received.wait())
        client = await Client.connect(harness.port)
        assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
        harness.proxy._on_first_list_timeout()
        assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        client.send()
        first, headers, _ = await client.read_response()
        assert first.split()[1] == b"503"
        assert b"retry-after" in headers
        assert harness.task is not None
        harness.task.cancel()
        await discovery.stop()
    run_with_timeout(main())


def test_where_the_module_asks_for_watches_it_is_told_of_failures() -> None:
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            assert harness.discovery.request_lines == []
            harness.proxy.driver._execute(api.WatchEndpoints())
            await with_timeout(harness.discovery.request_received.wait())
            harness.discovery.responses.put_nowait(make_response(503))
            await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
            calls = len(harness.discovery.request_lines)
            harness.proxy.driver._execute(api.FetchEndpoints())
            await wait_until(lambda: len(harness.discovery.request_lines) > calls)
            assert harness.discovery.request_lines[-1].startswith(b"GET /registry/instances ")
            harness.discovery.publish(9, discovery_entry("c", 2))
            await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FULL)
            assert not harness.proxy.pool.has_endpoint("b")
        await asyncio.sleep(0)
    run_with_timeout(main())


def test_the_answer_to_a_poll_in_flight_is_not_taken_for_the_full_list_asked_for_meanwhile() -> None:
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
    run_with_timeout(main())


def test_a_refused_call_is_over_and_never_taken_for_a_silent_one() -> None:
    """Else the module's pause is left out from then on, and all proxies call each second."""
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            for number in (1, 2):
                harness.discovery.responses.put_nowait(make_response(503))
                harness.proxy.watch.watch()
                await wait_until(
                    lambda: sum(e.kind is api.ListKind.FAILED for e in received_lists(harness)) == number  # noqa: B023
                )
                assert harness.proxy.watch.poll_timer is None  # nothing is due before the module's next word
            assert not harness.proxy.watch.initialized
    run_with_timeout(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_call_after_a_failure_does_not_wait(mode: str) -> None:
    """It stands in line before a wait would begin: judged by its wait, it would be given up in line."""
    async def main() -> None:
        async with started_proxy([discovery_entry("b", 1)], discovery=mode) as harness:
            harness.proxy.watch.watch()
            harness.discovery.publish(1)
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            assert b"&wait_ms=4000 " in harness.discovery.request_lines[1]
            harness.discovery.responses.put_nowait(make_response(503))
            if mode == "ask":
                await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
                harness.proxy.watch.watch()  # the module's next word
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            assert b"&wait_ms=0 " in harness.discovery.request_lines[2]
    run_with_timeout(main())


def test_a_pushed_list_is_asked_for_again_within_the_grace_for_drains() -> None:
    """An agent that cannot be reached for long returns with a drain: that counts as told in that moment."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        discovery = await Discovery().start()
        port = discovery.port
        await discovery.stop()
        rows = [leaves.discovery_entry("leaves"), stays.discovery_entry("stays")]
        harness = ProxyHarness(make_config(port, rows, contract={"stopSendingWithinMs": 120.0}), discovery)
        await harness.start()
        await wait_until(lambda: harness.proxy.watch.failures >= 8)  # its pause has grown as far as it will
        await wait_until(lambda: harness.proxy.watch.connect_task is None)
        timer, now = harness.proxy.watch.poll_timer, asyncio.get_running_loop().time()
        assert timer is not None
        assert timer.when() - now <= 0.07
        await discovery.start(port)
        discovery.publish(2, leaves.discovery_entry("leaves", lifecycle="draining"))
        await wait_for_list(harness, 2)
        client = await Client.connect(harness.port)
        client.send()
        assert await client.read_status() == 200
        assert leaves.requests == []
        assert harness.task is not None
        harness.task.cancel()
        for backend in (leaves, stays):
            await backend.stop()
        await discovery.stop()
    run_with_timeout(main())
