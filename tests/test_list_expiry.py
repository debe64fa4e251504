"""Until when the list held is used, over real sockets: unknown, missed and silent changes."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf import interface as api
from tests.proxy_harness import (
    Backend,
    Client,
    Discovery,
    GatedLoop,
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


def due_s(harness: ProxyHarness) -> float:
    """In how many seconds what the list held may lack counts as told."""
    due = harness.proxy.watch.expiry.timer
    assert due is not None
    return round(due.when() - asyncio.get_running_loop().time(), 3)  # the loop's times are whole ms


def expires_in(harness: ProxyHarness, left_ms: float) -> None:
    """Let the list held be usable for so much longer."""
    harness.proxy.watch.freshness.expires_ms = harness.proxy.clock.now() + left_ms
    harness.proxy.watch.expiry.start_timer()


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("silent", [False, True])
def test_nothing_is_sent_on_the_list_of_the_last_life(mode: str, silent: bool) -> None:
    """A backend drained while the proxy was away, and nobody knows for how long that was.

    Where lists are pushed the drain counts as told from the proxy's first moment, where they are asked for
    6 s after it was made. Callers that did not ask whether it is ready come all the same. A silent discovery
    keeps it out for seconds; then it is ready but sends nothing, and it goes on asking.
    """
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        rows = [leaves.discovery_entry("leaves"), stays.discovery_entry("stays")]
        async with started_proxy(rows, discovery=mode) as harness:
            harness.proxy.watch.watch()
            await with_timeout(harness.discovery.request_received.wait())
            client = await Client.connect(harness.port)
            assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            if silent:
                harness.proxy.watch._poll_timed_out()
                await wait_until(lambda: len(harness.discovery.request_lines) == 2)
                assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
                for _ in range(12):
                    client.send()
                    assert await client.read_status() == 503
                # goes to the call that fell silent: nobody reads it
                harness.discovery.responses.put_nowait(make_response())
            harness.discovery.publish(2, leaves.discovery_entry("leaves", lifecycle="draining"))
            await wait_for_list(harness, 2)
            assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
            assert leaves.requests == stays.requests == []
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert leaves.requests == []
        for backend in (leaves, stays):
            await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("ends", ["refused", "lost", "given up", "spoilt"])
def test_a_change_that_no_call_brought_counts_as_told_6_s_later(mode: str, ends: str) -> None:
    """From then on nothing is sent until a list comes: draining backends may answer calls, too."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        rows = [leaves.discovery_entry("leaves"), stays.discovery_entry("stays")]
        contract = {"askEveryMs": 1e6, "stopSendingWithinMs": 2e6}
        report = {"fields": [], "how": "silent"}
        async with started_proxy(rows, discovery=mode, contract=contract, report=report) as harness:
            harness.discovery.publish(1)
            harness.proxy.watch.watch()
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            listed = due_s(harness)
            assert listed <= 6.0
            harness.proxy.watch._poll_timed_out()  # from here on something may be missing
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            harness.discovery.responses.put_nowait(make_response())  # goes to the call that fell silent
            for _ in range(3):  # and no call brings a list
                calls = len(harness.discovery.request_lines)
                if ends == "given up":
                    harness.proxy.watch._poll_timed_out()
                    harness.discovery.responses.put_nowait(make_response())
                elif ends == "lost":
                    for writer in list(harness.discovery.connections):
                        writer.transport.abort()
                    harness.discovery.responses.put_nowait(make_response())
                else:
                    harness.discovery.responses.put_nowait(make_response(503 if ends == "refused" else 200))
                if mode == "ask" and ends != "given up":
                    await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
                    harness.proxy.watch.watch()
                elif mode == "push" and harness.proxy.watch.poll_timer is not None and ends != "given up":
                    await wait_until(lambda: harness.proxy.watch.poll is None)
                    harness.proxy.watch._poll()
                await wait_until(lambda: len(harness.discovery.request_lines) > calls)  # noqa: B023
                assert due_s(harness) <= listed
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            sent = len(leaves.requests) + len(stays.requests)
            harness.proxy.watch._expiry_reached()
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            assert len(leaves.requests) + len(stays.requests) == sent
            harness.discovery.publish(1)
            if mode == "push":
                harness.proxy.watch._poll()
            await wait_until(lambda: not harness.proxy.watch.expiry.overdue)
            client.send()
            assert await client.read_status() == 200
        for backend in (leaves, stays):
            await backend.stop()
    run_with_timeout(main())


def test_while_the_agent_of_pushed_lists_is_down_nothing_gets_overdue() -> None:
    """It takes calls and is silent, and learns nothing; where discovery is asked it cannot be told apart."""
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            watch = harness.proxy.watch
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            watch._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            expires_in(harness, 1000.0)
            assert watch.poll is not None
            watch.poll.sent_ms -= 1000.0
            watch._expiry_reached()
            assert not watch.expiry.overdue
            assert due_s(harness) > 5.0
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            watch.poll.sent_ms += 1000.0  # a call just made shows nothing
            watch._expiry_reached()
            assert watch.expiry.overdue
        await backend.stop()
    run_with_timeout(main())


def test_what_waits_for_its_connection_when_the_list_gets_overdue_is_withdrawn() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy(
            [backend.discovery_entry("b")], bounds={"connectTimeoutMs": 60000.0}
        ) as harness:
            gate = GatedLoop(harness.proxy.pool.loop)
            harness.proxy.pool.loop = gate  # type: ignore[assignment]
            client = await Client.connect(harness.port)
            client.send("pay")
            await wait_until(lambda: harness.proxy.pool.handshakes == 1)
            harness.proxy.watch._expiry_reached()
            assert await client.read_status() == 503
            gate.connections_allowed.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert backend.requests == []
        await backend.stop()
    run_with_timeout(main())


def test_what_cannot_be_reached_tells_nothing_and_what_moves_has_4_s() -> None:
    async def main() -> None:
        discovery, other = await Discovery().start(), await Discovery().start()
        port = discovery.port
        harness = ProxyHarness(
            make_config(port, [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}),
            discovery,
        )
        await harness.start()
        discovery.publish(1)
        harness.proxy.watch.watch()
        await wait_until(lambda: len(discovery.request_lines) == 2)
        assert b"&wait_ms=4000 " in discovery.request_lines[1]
        expires_in(harness, 3000.0)
        discovery.responses.put_nowait(make_response(503))  # the watch stood until it was ended by a word
        await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
        assert due_s(harness) > 4.0
        await discovery.stop()
        expires_in(harness, 3000.0)
        harness.proxy.watch.watch()
        await wait_until(lambda: harness.proxy.watch.connect_task is None)
        assert due_s(harness) > 4.0  # down: it could not have been told
        harness.proxy.watch.change_address(("127.0.0.1", other.port))
        assert due_s(harness) <= 4.0
        assert harness.task is not None
        harness.task.cancel()
        await other.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("waits", [True, False], ids=["a watch", "a call in line"])
def test_a_call_that_fell_silent_is_made_anew_before_what_it_missed_counts_as_told(
    mode: str, waits: bool,
) -> None:
    """It misses a drain, which counts as told 2 s after the wait, or 6 s after it fell silent.

    No pause of the module's fits in there, and half of the time is left for discovery's line.
    """
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        rows = [leaves.discovery_entry("leaves"), stays.discovery_entry("stays")]
        pauses = {"askEveryMs": 1e6}  # the module's pause after a failed call is up to a fifth of that
        async with started_proxy(rows, discovery=mode, contract=pauses) as harness:
            harness.proxy.watch.watch()
            if waits:
                harness.discovery.publish(1)
            out = 2 if waits else 1
            await wait_until(lambda: len(harness.discovery.request_lines) == out)
            timer, now = harness.proxy.watch.poll_timer, asyncio.get_running_loop().time()
            assert timer is not None
            assert timer.when() - now < (6.0 if waits else 4.0)
            harness.proxy.watch._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == out + 1)
            assert harness.discovery.request_lines[out].startswith(
                b"GET /registry/instances?after=1&wait_ms=0 "
            )
            assert api.ListKind.FAILED not in [e.kind for e in received_lists(harness)]
            # goes to the call that fell silent, and nobody reads it
            harness.discovery.responses.put_nowait(make_response())
            harness.discovery.publish(2, leaves.discovery_entry("leaves", lifecycle="draining"))
            await wait_until(lambda: len(harness.discovery.request_lines) == out + 2)
            assert b"?after=2&wait_ms=4000 " in harness.discovery.request_lines[out + 1]
            client = await Client.connect(harness.port)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert (len(leaves.requests), len(stays.requests)) == (0, 12)
        for backend in (leaves, stays):
            await backend.stop()
    run_with_timeout(main())


def test_a_call_that_comes_too_late_to_go_on_with_a_watch_does_not_wait() -> None:
    """It starts a new watch, in line: refused there, it does not show that the watch stood until then."""
    async def main() -> None:
        discovery = await Discovery().start()
        harness = ProxyHarness(
            make_config(
                discovery.port, [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}
            ),
            discovery,
        )
        await harness.start()
        watch = harness.proxy.watch

        def held_up(now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.EndpointsListed):
                watch.last_answer_ms -= 200.0  # as if the loop had been busy for so long
            return []

        harness.proxy.driver.balancer.handle = held_up  # type: ignore[method-assign]
        discovery.publish(1)
        watch.watch()
        await wait_until(lambda: len(discovery.request_lines) == 2)
        assert b"&wait_ms=0 " in discovery.request_lines[1]
        expires_in(harness, 3000.0)
        discovery.responses.put_nowait(make_response(503))
        await wait_until(lambda: watch.poll is None)
        assert due_s(harness) <= 3.0
        assert harness.task is not None
        harness.task.cancel()
        await discovery.stop()
    run_with_timeout(main())
