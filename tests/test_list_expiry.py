"""When the current endpoint list expires, over real sockets.

The propagation deadline of a change is the fixed time after which the proxy has to act on the change, whether
or not a response with it has arrived. A list expires when its age is unknown, or at the propagation deadline
of changes that the list may lack.
"""

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
    run_test,
    started_proxy,
    synced_proxy,
    wait_for_list,
    wait_until,
    with_timeout,
)


def seconds_until_expiry(harness: ProxyHarness) -> float:
    """Return the time until the current list expires, rounded because the loop's timers have whole ms."""
    expiry_timer = harness.proxy.discovery_client.expiry.timer
    assert expiry_timer is not None
    return round(expiry_timer.when() - asyncio.get_running_loop().time(), 3)


def set_time_until_expiry(harness: ProxyHarness, left_ms: float) -> None:
    """Make the current list expire `left_ms` from now."""
    harness.proxy.discovery_client.freshness.expires_ms = harness.proxy.clock.now() + left_ms
    harness.proxy.discovery_client.expiry.start_timer()


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("silent", [False, True])
def test_nothing_is_sent_based_on_the_cached_list_of_the_previous_process(mode: str, silent: bool) -> None:
    """A backend started to drain while the proxy was down for an unknown time.

    With pushed lists, the propagation deadline of the drain passes as soon as the proxy starts. With polled
    lists, it passes 6 s after the drain started. Clients that do not check the proxy's readiness send
    requests all the same. While discovery is silent, the proxy is not ready until its first poll times out.
    From then on the proxy is ready, but sends nothing and goes on polling.
    """
    async def main() -> None:
        draining, remaining = await Backend().start(), await Backend().start()
        entries = [draining.discovery_entry("draining"), remaining.discovery_entry("remaining")]
        async with started_proxy(entries, discovery=mode) as harness:
            harness.proxy.discovery_client.watch()
            await with_timeout(harness.discovery.request_received.wait())
            client = await Client.connect(harness.port)
            assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            if silent:
                harness.proxy.discovery_client._poll_timed_out()
                await wait_until(lambda: len(harness.discovery.request_lines) == 2)
                assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
                for _ in range(12):
                    client.send()
                    assert await client.read_status() == 503
                # This response answers the poll that timed out, and the proxy ignores it.
                harness.discovery.responses.put_nowait(make_response())
            harness.discovery.publish(2, draining.discovery_entry("draining", lifecycle="draining"))
            await wait_for_list(harness, 2)
            assert await client.round_trip(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
            assert draining.requests == remaining.requests == []
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert draining.requests == []
        for backend in (draining, remaining):
            await backend.stop()
    run_test(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("failure", ["rejected", "connection lost", "timed out", "invalid answer"])
def test_a_list_expires_within_6_s_of_the_last_valid_response_whatever_makes_later_polls_fail(
    mode: str, failure: str,
) -> None:
    """The propagation deadline of a change is after 6 s, even if no poll has brought the change.

    From then on the proxy sends nothing until a list arrives. Responses do not show that a backend may
    be used, because draining backends respond too.
    """
    async def main() -> None:
        draining, remaining = await Backend().start(), await Backend().start()
        entries = [draining.discovery_entry("draining"), remaining.discovery_entry("remaining")]
        contract = {"askEveryMs": 1e6, "stopSendingWithinMs": 2e6}
        report = {"fields": [], "how": "silent"}  # The backends send no load reports.
        async with started_proxy(entries, discovery=mode, contract=contract, report=report) as harness:
            harness.discovery.publish(1)
            harness.proxy.discovery_client.watch()
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            initial_time_left_s = seconds_until_expiry(harness)
            assert initial_time_left_s <= 6.0
            harness.proxy.discovery_client._poll_timed_out()  # From here on, the list may lack changes.
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            # This response answers the poll that timed out.
            harness.discovery.responses.put_nowait(make_response())
            for _ in range(3):  # None of these polls brings a list.
                poll_count = len(harness.discovery.request_lines)
                if failure == "timed out":
                    harness.proxy.discovery_client._poll_timed_out()
                    harness.discovery.responses.put_nowait(make_response())
                elif failure == "connection lost":
                    for writer in list(harness.discovery.connections):
                        writer.transport.abort()
                    harness.discovery.responses.put_nowait(make_response())
                else:
                    harness.discovery.responses.put_nowait(
                        make_response(503 if failure == "rejected" else 200))
                if mode == "ask" and failure != "timed out":
                    await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
                    harness.proxy.discovery_client.watch()
                # With pushed lists, the client itself sets a timer for its next poll after a failure.
                elif (mode == "push" and harness.proxy.discovery_client.poll_timer is not None
                        and failure != "timed out"):
                    await wait_until(lambda: harness.proxy.discovery_client.poll is None)
                    harness.proxy.discovery_client._start_next_poll()
                await wait_until(lambda: len(harness.discovery.request_lines) > poll_count)  # noqa: B023
                assert seconds_until_expiry(harness) <= initial_time_left_s
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            sent_count = len(draining.requests) + len(remaining.requests)
            harness.proxy.discovery_client._on_expiry_due()
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            assert len(draining.requests) + len(remaining.requests) == sent_count
            harness.discovery.publish(1)
            if mode == "push":
                harness.proxy.discovery_client._start_next_poll()
            await wait_until(lambda: not harness.proxy.discovery_client.expiry.expired)
            client.send()
            assert await client.read_status() == 200
        for backend in (draining, remaining):
            await backend.stop()
    run_test(main())


def test_a_pushed_list_does_not_expire_while_the_agent_is_down() -> None:
    """With pushed lists, the proxy polls a discovery agent.

    An agent that accepts polls but does not respond learns of no changes, so the list stays current.
    With polled discovery there is no agent, and the proxy cannot tell whether an unresponsive discovery is
    down or has a long queue.
    """
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            watch = harness.proxy.discovery_client
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            watch._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            set_time_until_expiry(harness, 1000.0)
            assert watch.poll is not None
            watch.poll.sent_ms -= 1000.0
            watch._on_expiry_due()
            assert not watch.expiry.expired
            assert seconds_until_expiry(harness) > 5.0
            client = await Client.connect(harness.port)
            client.send()
            assert await client.read_status() == 200
            # A poll sent just now does not show yet that the agent is down.
            watch.poll.sent_ms += 1000.0
            watch._on_expiry_due()
            assert watch.expiry.expired
        await backend.stop()
    run_test(main())


def test_an_attempt_that_waits_for_a_connection_is_aborted_when_the_list_expires() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy(
            [backend.discovery_entry("b")], bounds={"connectTimeoutMs": 60000.0}
        ) as harness:
            gated_loop = GatedLoop(harness.proxy.pool.loop)
            harness.proxy.pool.loop = gated_loop  # type: ignore[assignment]
            client = await Client.connect(harness.port)
            client.send("pay")
            await wait_until(lambda: harness.proxy.pool.handshakes == 1)  # One connect has started.
            harness.proxy.discovery_client._on_expiry_due()
            assert await client.read_status() == 503
            gated_loop.connections_allowed.set()
            await wait_until(lambda: not harness.proxy.pool.connect_tasks)
            assert backend.requests == []
        await backend.stop()
    run_test(main())


def test_a_list_stays_current_while_discovery_is_down_and_expires_4_s_after_an_address_change() -> None:
    async def main() -> None:
        discovery, new_discovery = await Discovery().start(), await Discovery().start()
        port = discovery.port
        harness = ProxyHarness(
            make_config(port, [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}),
            discovery,
        )
        await harness.start()
        discovery.publish(1)
        harness.proxy.discovery_client.watch()
        await wait_until(lambda: len(discovery.request_lines) == 2)
        assert b"&wait_ms=4000 " in discovery.request_lines[1]
        set_time_until_expiry(harness, 3000.0)
        # Discovery responds to the pending long poll, closes the connection and goes down at once.
        assert discovery.server is not None
        discovery.server.close()
        discovery.responses.put_nowait(make_response(
            200, b'{"generation":1,"reset":false,"instances":[]}', b"Connection: close"))
        await wait_until(lambda: received_lists(harness)[-1].kind is api.ListKind.FAILED)
        assert seconds_until_expiry(harness) > 4.0  # Discovery is down, so it has no new changes.
        await discovery.stop()
        harness.proxy.discovery_client.change_address(("127.0.0.1", new_discovery.port))
        assert seconds_until_expiry(harness) <= 4.0
        assert harness.task is not None
        harness.task.cancel()
        await new_discovery.stop()
    run_test(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("is_long", [True, False], ids=["long poll", "queued short poll"])
def test_an_unanswered_poll_is_retried_before_the_propagation_deadline_of_the_changes_it_missed(
    mode: str, is_long: bool,
) -> None:
    """The response that would have reported a drain is lost.

    The propagation deadline of the drain is 2 s after the end of a long poll's wait, or 6 s after a short
    poll went unanswered. The balancer's backoff after a failed poll does not fit into that time, and half of
    the time has to be left for discovery's queue.
    """
    async def main() -> None:
        draining, remaining = await Backend().start(), await Backend().start()
        entries = [draining.discovery_entry("draining"), remaining.discovery_entry("remaining")]
        # After a failed poll, the balancer's backoff is up to a fifth of this interval.
        poll_interval = {"askEveryMs": 1e6}
        async with started_proxy(entries, discovery=mode, contract=poll_interval) as harness:
            harness.proxy.discovery_client.watch()
            if is_long:
                harness.discovery.publish(1)
            poll_count = 2 if is_long else 1
            await wait_until(lambda: len(harness.discovery.request_lines) == poll_count)
            timer, now = harness.proxy.discovery_client.poll_timer, asyncio.get_running_loop().time()
            assert timer is not None
            assert timer.when() - now < (6.0 if is_long else 4.0)
            harness.proxy.discovery_client._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == poll_count + 1)
            assert harness.discovery.request_lines[poll_count].startswith(
                b"GET /registry/instances?after=1&wait_ms=0 "
            )
            assert api.ListKind.FAILED not in [e.kind for e in received_lists(harness)]
            # This response answers the poll that timed out, and the proxy ignores it.
            harness.discovery.responses.put_nowait(make_response())
            harness.discovery.publish(2, draining.discovery_entry("draining", lifecycle="draining"))
            await wait_until(lambda: len(harness.discovery.request_lines) == poll_count + 2)
            assert b"?after=2&wait_ms=4000 " in harness.discovery.request_lines[poll_count + 1]
            client = await Client.connect(harness.port)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert (len(draining.requests), len(remaining.requests)) == (0, 12)
        for backend in (draining, remaining):
            await backend.stop()
    run_test(main())


def test_a_poll_delayed_after_the_last_response_is_sent_as_a_short_poll() -> None:
    """A watch is a sequence of consecutive long polls; it ends if the next poll is sent too late.

    Such a late poll queues at discovery like the first one. If discovery rejects it from the queue, that does
    not prove that nothing had changed until then, as it does for a long poll that discovery already holds.
    """
    async def main() -> None:
        discovery = await Discovery().start()
        harness = ProxyHarness(
            make_config(
                discovery.port, [discovery_entry("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}
            ),
            discovery,
        )
        await harness.start()
        watch = harness.proxy.discovery_client

        def handle_late(now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.EndpointsListed):
                watch.last_response_started_ms -= 200.0  # as if the event loop had been busy that long
            return []

        harness.proxy.driver.balancer.handle = handle_late  # type: ignore[method-assign]
        discovery.publish(1)
        watch.watch()
        await wait_until(lambda: len(discovery.request_lines) == 2)
        assert b"&wait_ms=0 " in discovery.request_lines[1]
        set_time_until_expiry(harness, 3000.0)
        discovery.responses.put_nowait(make_response(503))
        await wait_until(lambda: watch.poll is None)
        assert seconds_until_expiry(harness) <= 3.0
        assert harness.task is not None
        harness.task.cancel()
        await discovery.stop()
    run_test(main())
