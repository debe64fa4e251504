"""From when a list counts as fresh: never from when it was received, processed or loaded."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from honeywharf import interface as api
from honeywharf.policy.list_freshness import MAX_AGE_MS, MAX_WAIT_MS, MIN_WAIT_MS, ListFreshness
from tests.helpers import TWO_ZONES, Driver, only_refusal, only_send
from tests.loopback import Backend, Client, World, reply, row, run, started_world, until, world

WAY_MS = 400.0  # of an answer from discovery to the proxy: longer than a watch lasts without a poll


def test_an_answer_counts_from_its_poll_and_word_of_no_change_from_the_end_of_the_wait() -> None:
    freshness = ListFreshness()
    assert not freshness.is_usable(0.0)
    freshness.record_answer(1000.0, 0.0, unchanged=True, now_ms=4400.0)  # stood in discovery's queue
    assert freshness.expires_ms == 1000.0 + MAX_AGE_MS
    freshness.record_answer(4400.0, 1000.0, unchanged=True, now_ms=4900.0)  # ended before its wait was over
    assert freshness.expires_ms == 4400.0 + MAX_AGE_MS
    freshness.record_answer(5000.0, 1000.0, unchanged=True, now_ms=9000.0)  # was under way for 3 s
    assert freshness.expires_ms == 6000.0 + MAX_AGE_MS
    freshness.record_answer(9000.0, 4000.0, unchanged=False, now_ms=9800.0)
    assert freshness.expires_ms == 9000.0 + MAX_AGE_MS
    assert freshness.is_usable(9000.0 + MAX_AGE_MS - 1.0)
    assert not freshness.is_usable(9000.0 + MAX_AGE_MS)


@pytest.mark.parametrize(
    ("ask_every_ms", "max_age_ms"), [(0.0, MAX_AGE_MS), (1e4, MAX_AGE_MS), (3000.0, 3000.0), (50.0, 2000.0)])
def test_a_poll_waits_no_longer_than_the_list_may_be_used(ask_every_ms: float, max_age_ms: float) -> None:
    freshness = ListFreshness(ask_every_ms)
    freshness.mark_current(100_000.0)
    assert freshness.expires_ms == 100_000.0 + max_age_ms
    for age_ms in range(0, int(max_age_ms), 50):
        wait_ms = freshness.wait_ms(100_000.0 + age_ms)
        assert MIN_WAIT_MS <= wait_ms <= MAX_WAIT_MS
        assert wait_ms == MIN_WAIT_MS or age_ms + wait_ms <= 0.75 * max_age_ms


def test_a_poll_that_falls_silent_is_given_up_while_the_list_may_still_be_used() -> None:
    """Whether or not it may have begun a new watch; there it has as long as can be, for discovery's queue."""
    for age_ms in range(0, 4500, 50):
        freshness = ListFreshness()
        freshness.mark_current(0.0)
        wait_ms = freshness.wait_ms(age_ms)
        timeout_ms = freshness.long_poll_timeout_ms(age_ms, wait_ms)
        assert timeout_ms >= wait_ms + 500.0
        assert age_ms + timeout_ms <= MAX_AGE_MS - 900.0
        assert timeout_ms >= min(4500.0, MAX_AGE_MS - 1000.0 - age_ms) or age_ms <= 150.0


def test_a_list_is_used_up_to_its_time_however_late_a_timer_comes() -> None:
    """Guards against what a process does first when it runs again after it was held up."""
    driver = Driver()
    driver.feed(api.EndpointsListed(
        api.ListKind.FULL, tuple(TWO_ZONES), usable_until_ms=driver.now + 100.0))
    assert only_send(driver.request()).leave_within_ms == 100.0  # nor does it wait longer for a connection
    driver.now += 100.0
    only_refusal(driver.request())
    driver.list([], api.ListKind.FAILED)
    only_refusal(driver.request())
    driver.feed(api.ListUsableUntil(driver.now + 50.0))
    only_send(driver.request())


def left_s(w: World) -> float:
    return (w.proxy.watch.freshness.expires_ms - w.proxy.clock.now()) / 1000.0


@asynccontextmanager
async def answered_late(mode: str) -> AsyncIterator[World]:
    """A proxy whose first answer, with a change, took `WAY_MS`, and whose next poll is out."""
    async with started_world([row("b", 1)], discovery=mode, contract={"askEveryMs": 1e6}) as w:
        w.proxy.watch.watch()
        await until(lambda: len(w.discovery.calls) == 1)
        assert w.proxy.watch.poll is not None
        w.proxy.watch.poll.sent_ms -= WAY_MS
        w.discovery.tell(2, row("c", 2))
        await until(lambda: len(w.discovery.calls) == 2)
        yield w


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_what_came_late_is_not_fresh_from_when_it_came(mode: str) -> None:
    async def main() -> None:
        async with answered_late(mode) as w:
            assert left_s(w) <= (MAX_AGE_MS - WAY_MS) / 1000.0
    run(main())


def test_a_poll_refused_in_the_queue_is_not_taken_for_a_watch_that_stood_until_then() -> None:
    """The answer was under way for longer than a watch lasts, so the next poll may have begun another one."""
    async def main() -> None:
        async with answered_late("ask") as w:
            assert b"&wait_ms=0 " not in w.discovery.calls[1]  # as far as the proxy knows the watch goes on
            expires_ms = w.proxy.watch.freshness.expires_ms
            w.discovery.answers.put_nowait(reply(503))
            await until(lambda: w.proxy.watch.poll is None)
            assert w.proxy.watch.freshness.expires_ms == expires_ms
    run(main())


@pytest.mark.parametrize("ends", ["whole", "cut"])
def test_nothing_is_sent_while_the_rest_of_an_answer_is_under_way(ends: str) -> None:
    """It counts as told once it is written, and what has come of it may not say yet what it tells."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        async with world([leaves.row("leaves"), stays.row("stays")]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            gone = {"generation": 2, "reset": False, "instances": [leaves.row("leaves", lifecycle="removed")]}
            whole = reply(200, json.dumps(gone).encode())
            w.discovery.answers.put_nowait(whole[:-20])
            await until(lambda: w.proxy.watch.expiry.overdue)
            client = await Client.to(w.port)
            for _ in range(12):
                client.send()
                assert await client.status() == 503
            assert leaves.requests == stays.requests == []
            (writer,) = w.discovery.connections
            if ends == "whole":
                writer.write(whole[-20:])
            else:
                writer.transport.abort()
                await until(lambda: len(w.discovery.calls) == 3)
                assert w.proxy.watch.expiry.overdue
                w.discovery.answers.put_nowait(whole)
            await until(lambda: not w.proxy.watch.expiry.overdue)
            for _ in range(12):
                client.send()
                assert await client.status() == 200
            assert (len(leaves.requests), len(stays.requests)) == (0, 12)
        for backend in (leaves, stays):
            await backend.stop()
    run(main())


def test_an_agent_in_the_middle_of_its_answer_is_not_down() -> None:
    """Guards against a list of thousands that takes longer than an agent needs to respond at all."""
    async def main() -> None:
        async with world([row("b", 1)], contract={"stopSendingWithinMs": 1e6}) as w:
            watch = w.proxy.watch
            await until(lambda: len(w.discovery.calls) == 2)
            watch._poll_timed_out()
            await until(lambda: len(w.discovery.calls) == 3)
            w.discovery.answers.put_nowait(b"")  # goes to the call that fell silent
            w.discovery.answers.put_nowait(b"HTTP/1.1 200 OK\r\n")
            await until(lambda: watch.poll is not None and watch.poll.answer_began_ms is not None)
            assert watch.poll is not None
            watch.poll.sent_ms -= 1000.0
            watch._expiry_reached()
            assert watch.expiry.overdue
    run(main())


@pytest.mark.parametrize(
    "fault", [errno.ENETUNREACH, errno.ETIMEDOUT, errno.EADDRNOTAVAIL, errno.ECONNREFUSED])
def test_only_a_refused_connection_shows_that_discovery_is_down(fault: int) -> None:
    """Then nothing counts from before now; other faults may be the network's or this proxy's own."""
    async def main() -> None:
        async with world([row("b", 1)], discovery="ask") as w:
            watch = w.proxy.watch
            await until(lambda: len(w.discovery.calls) == 2)
            w.discovery.answers.put_nowait(reply(503))  # the watch stood until then
            await until(lambda: watch.poll is None)
            expires_ms = watch.freshness.expires_ms
            await asyncio.sleep(0.002)
            watch._connect_failed(OSError(fault, "x"))
            assert (watch.freshness.expires_ms > expires_ms) == (fault == errno.ECONNREFUSED)
    run(main())
