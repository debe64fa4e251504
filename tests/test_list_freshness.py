"""From when a list counts as fresh: never from when it was received, processed or loaded."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from honeywharf import interface as api
from honeywharf.policy.list_freshness import LONGEST_WAIT_MS, MAX_AGE_MS, SHORTEST_WAIT_MS, ListFreshness
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_single_refusal,
    expect_single_send,
)
from tests.proxy_harness import (
    Backend,
    Client,
    ProxyHarness,
    discovery_entry,
    make_response,
    run_with_timeout,
    started_proxy,
    synced_proxy,
    wait_until,
)

WAY_MS = 400.0  # of an answer from discovery to the proxy: longer than a watch lasts without a poll


def test_an_answer_counts_from_its_poll_and_word_of_no_change_from_the_end_of_the_wait() -> None:
    freshness = ListFreshness()
    assert not freshness.is_usable(0.0)
    freshness.confirm_answer(1000.0, 0.0, unchanged=True, now=4400.0)  # stood in discovery's queue
    assert freshness.expires_ms == 1000.0 + MAX_AGE_MS
    freshness.confirm_answer(4400.0, 1000.0, unchanged=True, now=4900.0)  # ended before its wait was over
    assert freshness.expires_ms == 4400.0 + MAX_AGE_MS
    freshness.confirm_answer(5000.0, 1000.0, unchanged=True, now=9000.0)  # was under way for 3 s
    assert freshness.expires_ms == 6000.0 + MAX_AGE_MS
    freshness.confirm_answer(9000.0, 4000.0, unchanged=False, now=9800.0)
    assert freshness.expires_ms == 9000.0 + MAX_AGE_MS
    assert freshness.is_usable(9000.0 + MAX_AGE_MS - 1.0)
    assert not freshness.is_usable(9000.0 + MAX_AGE_MS)


@pytest.mark.parametrize(
    ("ask_every_ms", "max_age_ms"), [(0.0, MAX_AGE_MS), (1e4, MAX_AGE_MS), (3000.0, 3000.0), (50.0, 2000.0)])
def test_a_poll_waits_no_longer_than_the_list_may_be_used(ask_every_ms: float, max_age_ms: float) -> None:
    freshness = ListFreshness(ask_every_ms)
    freshness.confirm(100_000.0)
    assert freshness.expires_ms == 100_000.0 + max_age_ms
    for age_ms in range(0, int(max_age_ms), 50):
        wait_ms = freshness.wait_ms(100_000.0 + age_ms)
        assert SHORTEST_WAIT_MS <= wait_ms <= LONGEST_WAIT_MS
        assert wait_ms == SHORTEST_WAIT_MS or age_ms + wait_ms <= 0.75 * max_age_ms


def test_a_poll_that_falls_silent_is_given_up_while_the_list_may_still_be_used() -> None:
    """Whether or not it may have begun a new watch; there it has as long as can be, for discovery's queue."""
    for age_ms in range(0, 4500, 50):
        freshness = ListFreshness()
        freshness.confirm(0.0)
        wait_ms = freshness.wait_ms(age_ms)
        timeout_ms = freshness.long_poll_timeout_ms(age_ms, wait_ms)
        assert timeout_ms >= wait_ms + 500.0
        assert age_ms + timeout_ms <= MAX_AGE_MS - 900.0
        assert timeout_ms >= min(4500.0, MAX_AGE_MS - 1000.0 - age_ms) or age_ms <= 150.0


def test_a_list_is_used_up_to_its_time_however_late_a_timer_comes() -> None:
    """Guards against what a process does first when it runs again after it was held up."""
    harness = BalancerHarness()
    harness.feed(api.EndpointsListed(
        api.ListKind.FULL, tuple(TWO_ZONE_ENDPOINTS), expires_at_ms=harness.now_ms + 100.0))
    # nor does it wait longer for a connection
    assert expect_single_send(harness.start_request()).send_within_ms == 100.0
    harness.now_ms += 100.0
    expect_single_refusal(harness.start_request())
    harness.update_endpoints([], api.ListKind.FAILED)
    expect_single_refusal(harness.start_request())
    harness.feed(api.ListExpiryChanged(harness.now_ms + 50.0))
    expect_single_send(harness.start_request())


def left_s(harness: ProxyHarness) -> float:
    return (harness.proxy.watch.freshness.expires_ms - harness.proxy.clock.now()) / 1000.0


@asynccontextmanager
async def answered_late(mode: str) -> AsyncIterator[ProxyHarness]:
    """A proxy whose first answer, with a change, took `WAY_MS`, and whose next poll is out."""
    async with started_proxy(
        [discovery_entry("b", 1)], discovery=mode, contract={"askEveryMs": 1e6}
    ) as harness:
        harness.proxy.watch.watch()
        await wait_until(lambda: len(harness.discovery.request_lines) == 1)
        assert harness.proxy.watch.poll is not None
        harness.proxy.watch.poll.sent_ms -= WAY_MS
        harness.discovery.publish(2, discovery_entry("c", 2))
        await wait_until(lambda: len(harness.discovery.request_lines) == 2)
        yield harness


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_what_came_late_is_not_fresh_from_when_it_came(mode: str) -> None:
    async def main() -> None:
        async with answered_late(mode) as harness:
            assert left_s(harness) <= (MAX_AGE_MS - WAY_MS) / 1000.0
    run_with_timeout(main())


def test_a_poll_refused_in_the_queue_is_not_taken_for_a_watch_that_stood_until_then() -> None:
    """The answer was under way for longer than a watch lasts, so the next poll may have begun another one."""
    async def main() -> None:
        async with answered_late("ask") as harness:
            # as far as the proxy knows the watch goes on
            assert b"&wait_ms=0 " not in harness.discovery.request_lines[1]
            expires_ms = harness.proxy.watch.freshness.expires_ms
            harness.discovery.responses.put_nowait(make_response(503))
            await wait_until(lambda: harness.proxy.watch.poll is None)
            assert harness.proxy.watch.freshness.expires_ms == expires_ms
    run_with_timeout(main())


@pytest.mark.parametrize("ends", ["whole", "cut"])
def test_nothing_is_sent_while_the_rest_of_an_answer_is_under_way(ends: str) -> None:
    """It counts as told once it is written, and what has come of it may not say yet what it tells."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        async with synced_proxy(
            [leaves.discovery_entry("leaves"), stays.discovery_entry("stays")]
        ) as harness:
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            gone = {
                "generation": 2,
                "reset": False,
                "instances": [leaves.discovery_entry("leaves", lifecycle="removed")],
            }
            whole = make_response(200, json.dumps(gone).encode())
            harness.discovery.responses.put_nowait(whole[:-20])
            await wait_until(lambda: harness.proxy.watch.expiry.overdue)
            client = await Client.connect(harness.port)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 503
            assert leaves.requests == stays.requests == []
            (writer,) = harness.discovery.connections
            if ends == "whole":
                writer.write(whole[-20:])
            else:
                writer.transport.abort()
                await wait_until(lambda: len(harness.discovery.request_lines) == 3)
                assert harness.proxy.watch.expiry.overdue
                harness.discovery.responses.put_nowait(whole)
            await wait_until(lambda: not harness.proxy.watch.expiry.overdue)
            for _ in range(12):
                client.send()
                assert await client.read_status() == 200
            assert (len(leaves.requests), len(stays.requests)) == (0, 12)
        for backend in (leaves, stays):
            await backend.stop()
    run_with_timeout(main())


def test_an_agent_in_the_middle_of_its_answer_is_not_down() -> None:
    """Guards against a list of thousands that takes longer than an agent needs to respond at all."""
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)], contract={"stopSendingWithinMs": 1e6}) as harness:
            watch = harness.proxy.watch
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            watch._poll_timed_out()
            await wait_until(lambda: len(harness.discovery.request_lines) == 3)
            harness.discovery.responses.put_nowait(b"")  # goes to the call that fell silent
            harness.discovery.responses.put_nowait(b"HTTP/1.1 200 OK\r\n")
            await wait_until(lambda: watch.poll is not None and watch.poll.answer_began_ms is not None)
            assert watch.poll is not None
            watch.poll.sent_ms -= 1000.0
            watch._expiry_reached()
            assert watch.expiry.overdue
    run_with_timeout(main())


@pytest.mark.parametrize(
    "fault", [errno.ENETUNREACH, errno.ETIMEDOUT, errno.EADDRNOTAVAIL, errno.ECONNREFUSED])
def test_only_a_refused_connection_shows_that_discovery_is_down(fault: int) -> None:
    """Then nothing counts from before now; other faults may be the network's or this proxy's own."""
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)], discovery="ask") as harness:
            watch = harness.proxy.watch
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            harness.discovery.responses.put_nowait(make_response(503))  # the watch stood until then
            await wait_until(lambda: watch.poll is None)
            expires_ms = watch.freshness.expires_ms
            await asyncio.sleep(0.002)
            watch._connect_failed(OSError(fault, "x"))
            assert (watch.freshness.expires_ms > expires_ms) == (fault == errno.ECONNREFUSED)
    run_with_timeout(main())
