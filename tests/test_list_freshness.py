"""How long the endpoint list is usable, and that nothing is sent once it has expired.

The age of a list is measured from the last time at which the list is known to have matched the state of
discovery. It is never measured from the time at which the list was received, processed or loaded.

A poll is one HTTP request to discovery. A watch is the chain of long polls, each sent as soon as the one
before has its response, by which discovery reports changes.
"""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from honeywharf import interface as api
from honeywharf.policy.list_freshness import MAX_AGE_MS, MAX_WAIT_MS, MIN_WAIT_MS, ListFreshness
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_only_refusal,
    expect_single_send,
)
from tests.proxy_harness import (
    Backend,
    Client,
    ProxyHarness,
    discovery_entry,
    make_response,
    run_test,
    started_proxy,
    synced_proxy,
    wait_until,
)

# The transit time of a response from discovery to the proxy. It is longer than the 0.2 s after which
# discovery ends a watch if no further poll has arrived.
TRANSIT_MS = 400.0


def test_list_age_is_measured_from_the_poll_and_for_an_unchanged_list_from_the_end_of_the_wait() -> None:
    freshness = ListFreshness()
    assert not freshness.is_usable(0.0)
    # A poll that was sent at 1000 ms, asked for no wait, and spent 3.4 s in the queue of discovery.
    freshness.record_response(1000.0, 0.0, unchanged=True, now_ms=4400.0)
    assert freshness.expires_ms == 1000.0 + MAX_AGE_MS
    # The response arrives before the wait of 1000 ms has ended.
    freshness.record_response(4400.0, 1000.0, unchanged=True, now_ms=4900.0)
    assert freshness.expires_ms == 4400.0 + MAX_AGE_MS
    # The wait ends at 6000 ms, and the response is in transit for 3 s.
    freshness.record_response(5000.0, 1000.0, unchanged=True, now_ms=9000.0)
    assert freshness.expires_ms == 6000.0 + MAX_AGE_MS
    # The response holds changes.
    freshness.record_response(9000.0, 4000.0, unchanged=False, now_ms=9800.0)
    assert freshness.expires_ms == 9000.0 + MAX_AGE_MS
    assert freshness.is_usable(9000.0 + MAX_AGE_MS - 1.0)
    assert not freshness.is_usable(9000.0 + MAX_AGE_MS)


@pytest.mark.parametrize(
    ("poll_interval_ms", "max_age_ms"),
    [(0.0, MAX_AGE_MS), (1e4, MAX_AGE_MS), (3000.0, 3000.0), (50.0, 2000.0)],
)
def test_the_wait_of_a_poll_ends_before_the_list_expires(
    poll_interval_ms: float, max_age_ms: float,
) -> None:
    freshness = ListFreshness(poll_interval_ms)
    freshness.mark_up_to_date(100_000.0)
    assert freshness.expires_ms == 100_000.0 + max_age_ms
    for age_ms in range(0, int(max_age_ms), 50):
        wait_ms = freshness.wait_ms(100_000.0 + age_ms)
        assert MIN_WAIT_MS <= wait_ms <= MAX_WAIT_MS
        assert wait_ms == MIN_WAIT_MS or age_ms + wait_ms <= 0.75 * max_age_ms


def test_an_unanswered_poll_times_out_before_the_list_expires() -> None:
    """Discovery queues a poll that opens a new watch, so its timeout includes time in that queue.

    A poll sent at most 150 ms after the list was last known to be current is certain to continue the watch,
    and does not need that time.
    """
    for age_ms in range(0, 4500, 50):
        freshness = ListFreshness()
        freshness.mark_up_to_date(0.0)
        wait_ms = freshness.wait_ms(age_ms)
        timeout_ms = freshness.long_poll_timeout_ms(age_ms, wait_ms)
        assert timeout_ms >= wait_ms + 500.0
        assert age_ms + timeout_ms <= MAX_AGE_MS - 900.0
        # Only a poll sent at more than 150 ms needs the longer timeout.
        assert timeout_ms >= min(4500.0, MAX_AGE_MS - 1000.0 - age_ms) or age_ms <= 150.0


def test_an_expired_list_is_not_used_even_if_its_timer_has_not_fired() -> None:
    """A process that resumes after a suspension may handle requests before it handles its timers."""
    harness = BalancerHarness()
    harness.feed(api.EndpointsListed(
        api.ListKind.FULL, tuple(TWO_ZONE_ENDPOINTS), expires_at_ms=harness.now_ms + 100.0))
    # The attempt must not wait for a connection beyond the expiry of the list.
    assert expect_single_send(harness.start_request()).send_within_ms == 100.0
    harness.now_ms += 100.0
    expect_only_refusal(harness.start_request())
    harness.feed_list([], api.ListKind.FAILED)
    expect_only_refusal(harness.start_request())
    harness.feed(api.ListExpiryChanged(harness.now_ms + 50.0))
    expect_single_send(harness.start_request())


def seconds_to_list_expiry(harness: ProxyHarness) -> float:
    """Return the time in seconds until the current endpoint list expires."""
    return (harness.proxy.discovery_client.freshness.expires_ms - harness.proxy.clock.now()) / 1000.0


@asynccontextmanager
async def proxy_after_delayed_response(mode: str) -> AsyncIterator[ProxyHarness]:
    """Run a proxy that received a change `TRANSIT_MS` after its first poll, and whose next poll is in flight.

    The change arrives at once; instead, the time at which the first poll was sent is moved back.
    """
    async with started_proxy(
        [discovery_entry("b", 1)], discovery=mode, contract={"askEveryMs": 1e6}
    ) as harness:
        harness.proxy.discovery_client.watch()
        await wait_until(lambda: len(harness.discovery.request_lines) == 1)
        assert harness.proxy.discovery_client.poll is not None
        harness.proxy.discovery_client.poll.sent_ms -= TRANSIT_MS
        harness.discovery.publish(2, discovery_entry("c", 2))
        await wait_until(lambda: len(harness.discovery.request_lines) == 2)
        yield harness


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_age_of_the_list_does_not_restart_when_a_delayed_response_arrives(mode: str) -> None:
    async def main() -> None:
        async with proxy_after_delayed_response(mode) as harness:
            assert seconds_to_list_expiry(harness) <= (MAX_AGE_MS - TRANSIT_MS) / 1000.0
    run_test(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("watch_is_active", [True, False])
def test_a_503_does_not_extend_the_expiry_whatever_poll_it_answers(mode: str, watch_is_active: bool) -> None:
    """Guards against calls to a draining server while discovery is crowded.

    A poll that continues a watch may wait in discovery's queue like any other, and fail there. The 503 then
    proves nothing about the time since the last response, and neither does a refused connection after it.
    """
    async def main() -> None:
        async with proxy_after_delayed_response(mode) as harness:
            poller = harness.proxy.discovery_client
            if watch_is_active:
                harness.discovery.publish(3, discovery_entry("c", 2))
                await wait_until(lambda: len(harness.discovery.request_lines) == 3)
                assert poller.freshness.is_watch_active(harness.proxy.clock.now())
            # The last poll asks for a wait, because the proxy assumes that the watch continues.
            assert b"&wait_ms=0 " not in harness.discovery.request_lines[-1]
            expires_ms = poller.freshness.expires_ms
            harness.discovery.responses.put_nowait(make_response(503))
            await wait_until(lambda: poller.poll is None)
            assert poller.freshness.expires_ms == expires_ms
            poller._connect_failed(ConnectionRefusedError(errno.ECONNREFUSED, "x"))
            assert poller.freshness.expires_ms == expires_ms
    run_test(main())


@pytest.mark.parametrize("response_end", ["complete", "truncated"])
def test_nothing_is_sent_while_a_response_of_discovery_is_incomplete(response_end: str) -> None:
    """The proxy has received only part of a response that holds a change, and can't know the change yet.

    The propagation deadline of the change comes when discovery writes the response. From then on the proxy
    must obey the change, whether or not the rest of the response has arrived.
    """
    async def main() -> None:
        removed, kept = await Backend().start(), await Backend().start()
        async with synced_proxy(
            [removed.discovery_entry("removed"), kept.discovery_entry("kept")]
        ) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            changes = {
                "generation": 2,
                "reset": False,
                "instances": [removed.discovery_entry("removed", lifecycle="removed")],
            }
            response = make_response(200, json.dumps(changes).encode())
            harness.discovery.responses.put_nowait(response[:-20])
            await wait_until(lambda: harness.proxy.discovery_client.expiry.expired)
            client = await Client.connect(harness.port)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            assert removed.requests == kept.requests == []
            (writer,) = harness.discovery.connections
            if response_end == "complete":
                writer.write(response[-20:])
            else:
                writer.transport.abort()
                await wait_until(lambda: len(harness.discovery.request_lines) == 3)
                assert harness.proxy.discovery_client.expiry.expired
                harness.discovery.responses.put_nowait(response)
            await wait_until(lambda: not harness.proxy.discovery_client.expiry.expired)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert (len(removed.requests), len(kept.requests)) == (0, 12)
        for backend in (removed, kept):
            await backend.stop()
    run_test(main())


def test_discovery_that_has_started_its_response_is_not_considered_down() -> None:
    """A list of thousands of endpoints may take longer to transfer than the timeout for the first byte.

    If discovery were considered down, the proxy would assume that there are no changes, and keep using its
    list.
    """
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)], contract={"stopSendingWithinMs": 1e6}) as harness:
            poller = harness.proxy.discovery_client
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            poller._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            # The poll that timed out still waits for a response at the fake discovery service, and takes this
            # empty one. The next poll takes the start of a response.
            harness.discovery.responses.put_nowait(b"")
            harness.discovery.responses.put_nowait(b"HTTP/1.1 200 OK\r\n")
            await wait_until(lambda: (
                poller.poll is not None and poller.poll.response_started_ms is not None))
            assert poller.poll is not None
            poller.poll.sent_ms -= 1000.0
            poller._on_expiry_due()
            assert poller.expiry.expired
    run_test(main())


@pytest.mark.parametrize(
    "error_number", [errno.ENETUNREACH, errno.ETIMEDOUT, errno.EADDRNOTAVAIL, errno.ECONNREFUSED])
def test_only_a_refused_connection_shows_that_discovery_is_down(error_number: int) -> None:
    """While discovery is down, it learns of no changes, so the list does not age.

    Other errors may be due to the network or to the proxy itself.
    """
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            poller = harness.proxy.discovery_client
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            poller._start_next_poll = lambda: None  # type: ignore[method-assign]  # it does not poll again
            harness.discovery.publish(1)
            await wait_until(lambda: poller.poll is None)
            expires_ms = poller.freshness.expires_ms
            await asyncio.sleep(0.002)
            poller._connect_failed(OSError(error_number, "x"))
            assert (poller.freshness.expires_ms > expires_ms) == (error_number == errno.ECONNREFUSED)
    run_test(main())
