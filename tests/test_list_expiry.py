"""Until when the list held is used, over real sockets: unknown, missed and silent changes."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf import interface as api
from tests.loopback import (
    Backend,
    Client,
    Discovery,
    Gate,
    World,
    lists,
    make_config,
    reply,
    row,
    run,
    soon,
    started_world,
    told,
    until,
    world,
)


def due_s(w: World) -> float:
    """In how many seconds what the list held may lack counts as told."""
    due = w.proxy.watch.expiry.timer
    assert due is not None
    return round(due.when() - asyncio.get_running_loop().time(), 3)  # the loop's times are whole ms


def expires_in(w: World, left_ms: float) -> None:
    """Let the list held be usable for so much longer."""
    w.proxy.watch.freshness.expires_ms = w.proxy.clock.now() + left_ms
    w.proxy.watch.expiry.start_timer()


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
        rows = [leaves.row("leaves"), stays.row("stays")]
        async with started_world(rows, discovery=mode) as w:
            w.proxy.watch.watch()
            await soon(w.discovery.called.wait())
            client = await Client.to(w.port)
            assert await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            for _ in range(12):
                client.send()
                assert await client.status() == 503
            if silent:
                w.proxy.watch._poll_timed_out()
                await until(lambda: len(w.discovery.calls) == 2)
                assert await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
                for _ in range(12):
                    client.send()
                    assert await client.status() == 503
                w.discovery.answers.put_nowait(reply())  # goes to the call that fell silent: nobody reads it
            w.discovery.tell(2, leaves.row("leaves", lifecycle="draining"))
            await told(w, 2)
            assert await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
            assert leaves.requests == stays.requests == []
            for _ in range(12):
                client.send()
                assert await client.status() == 200
            assert leaves.requests == []
        for backend in (leaves, stays):
            await backend.stop()
    run(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("ends", ["refused", "lost", "given up", "spoilt"])
def test_a_change_that_no_call_brought_counts_as_told_6_s_later(mode: str, ends: str) -> None:
    """From then on nothing is sent until a list comes: draining backends may answer calls, too."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        rows = [leaves.row("leaves"), stays.row("stays")]
        contract = {"askEveryMs": 1e6, "stopSendingWithinMs": 2e6}
        report = {"fields": [], "how": "silent"}
        async with started_world(rows, discovery=mode, contract=contract, report=report) as w:
            w.discovery.tell(1)
            w.proxy.watch.watch()
            await until(lambda: len(w.discovery.calls) == 2)
            listed = due_s(w)
            assert listed <= 6.0
            w.proxy.watch._poll_timed_out()  # from here on something may be missing
            await until(lambda: len(w.discovery.calls) == 3)
            w.discovery.answers.put_nowait(reply())  # goes to the call that fell silent
            for _ in range(3):  # and no call brings a list
                calls = len(w.discovery.calls)
                if ends == "given up":
                    w.proxy.watch._poll_timed_out()
                    w.discovery.answers.put_nowait(reply())
                elif ends == "lost":
                    for writer in list(w.discovery.connections):
                        writer.transport.abort()
                    w.discovery.answers.put_nowait(reply())
                else:
                    w.discovery.answers.put_nowait(reply(503 if ends == "refused" else 200))
                if mode == "ask" and ends != "given up":
                    await until(lambda: lists(w)[-1].kind is api.ListKind.FAILED)
                    w.proxy.watch.watch()
                elif mode == "push" and w.proxy.watch.poll_timer is not None and ends != "given up":
                    await until(lambda: w.proxy.watch.poll is None)
                    w.proxy.watch._poll()
                await until(lambda: len(w.discovery.calls) > calls)  # noqa: B023
                assert due_s(w) <= listed
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            sent = len(leaves.requests) + len(stays.requests)
            w.proxy.watch._expiry_reached()
            for _ in range(12):
                client.send()
                assert await client.status() == 503
            assert len(leaves.requests) + len(stays.requests) == sent
            w.discovery.tell(1)
            if mode == "push":
                w.proxy.watch._poll()
            await until(lambda: not w.proxy.watch.expiry.overdue)
            client.send()
            assert await client.status() == 200
        for backend in (leaves, stays):
            await backend.stop()
    run(main())


def test_while_the_agent_of_pushed_lists_is_down_nothing_gets_overdue() -> None:
    """It takes calls and is silent, and learns nothing; where discovery is asked it cannot be told apart."""
    async def main() -> None:
        backend = await Backend().start()
        async with world([backend.row("b")]) as w:
            watch = w.proxy.watch
            await until(lambda: len(w.discovery.calls) == 2)
            watch._poll_timed_out()
            await until(lambda: len(w.discovery.calls) == 3)
            expires_in(w, 1000.0)
            assert watch.poll is not None
            watch.poll.sent_ms -= 1000.0
            watch._expiry_reached()
            assert not watch.expiry.overdue
            assert due_s(w) > 5.0
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            watch.poll.sent_ms += 1000.0  # a call just made shows nothing
            watch._expiry_reached()
            assert watch.expiry.overdue
        await backend.stop()
    run(main())


def test_what_waits_for_its_connection_when_the_list_gets_overdue_is_withdrawn() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with world([backend.row("b")], bounds={"connectTimeoutMs": 60000.0}) as w:
            gate = Gate(w.proxy.pool.loop)
            w.proxy.pool.loop = gate  # type: ignore[assignment]
            client = await Client.to(w.port)
            client.send("pay")
            await until(lambda: w.proxy.pool.handshakes == 1)
            w.proxy.watch._expiry_reached()
            assert await client.status() == 503
            gate.let.set()
            await until(lambda: not w.proxy.pool.tasks)
            assert backend.requests == []
        await backend.stop()
    run(main())


def test_what_cannot_be_reached_tells_nothing_and_what_moves_has_4_s() -> None:
    async def main() -> None:
        discovery, other = await Discovery().start(), await Discovery().start()
        port = discovery.port
        w = World(make_config(port, [row("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}), discovery)
        await w.start()
        discovery.tell(1)
        w.proxy.watch.watch()
        await until(lambda: len(discovery.calls) == 2)
        assert b"&wait_ms=4000 " in discovery.calls[1]
        expires_in(w, 3000.0)
        discovery.answers.put_nowait(reply(503))  # the watch stood until it was ended by a word
        await until(lambda: lists(w)[-1].kind is api.ListKind.FAILED)
        assert due_s(w) > 4.0
        await discovery.stop()
        expires_in(w, 3000.0)
        w.proxy.watch.watch()
        await until(lambda: w.proxy.watch.connect_task is None)
        assert due_s(w) > 4.0  # down: it could not have been told
        w.proxy.watch.change_address(("127.0.0.1", other.port))
        assert due_s(w) <= 4.0
        assert w.running is not None
        w.running.cancel()
        await other.stop()
    run(main())


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
        rows = [leaves.row("leaves"), stays.row("stays")]
        pauses = {"askEveryMs": 1e6}  # the module's pause after a failed call is up to a fifth of that
        async with started_world(rows, discovery=mode, contract=pauses) as w:
            w.proxy.watch.watch()
            if waits:
                w.discovery.tell(1)
            out = 2 if waits else 1
            await until(lambda: len(w.discovery.calls) == out)
            timer, now = w.proxy.watch.poll_timer, asyncio.get_running_loop().time()
            assert timer is not None
            assert timer.when() - now < (6.0 if waits else 4.0)
            w.proxy.watch._poll_timed_out()
            await until(lambda: len(w.discovery.calls) == out + 1)
            assert w.discovery.calls[out].startswith(b"GET /registry/instances?after=1&wait_ms=0 ")
            assert api.ListKind.FAILED not in [e.kind for e in lists(w)]
            w.discovery.answers.put_nowait(reply())  # goes to the call that fell silent, and nobody reads it
            w.discovery.tell(2, leaves.row("leaves", lifecycle="draining"))
            await until(lambda: len(w.discovery.calls) == out + 2)
            assert b"?after=2&wait_ms=4000 " in w.discovery.calls[out + 1]
            client = await Client.to(w.port)
            for _ in range(12):
                client.send()
                assert await client.status() == 200
            assert (len(leaves.requests), len(stays.requests)) == (0, 12)
        for backend in (leaves, stays):
            await backend.stop()
    run(main())


def test_a_call_that_comes_too_late_to_go_on_with_a_watch_does_not_wait() -> None:
    """It starts a new watch, in line: refused there, it does not show that the watch stood until then."""
    async def main() -> None:
        discovery = await Discovery().start()
        w = World(make_config(discovery.port, [row("b", 1)], discovery="ask", contract={"askEveryMs": 1e6}),
                  discovery)
        await w.start()
        watch = w.proxy.watch

        def held_up(now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.EndpointsListed):
                watch.last_answer_ms -= 200.0  # as if the loop had been busy for so long
            return []

        w.proxy.driver.balancer.handle = held_up  # type: ignore[method-assign]
        discovery.tell(1)
        watch.watch()
        await until(lambda: len(discovery.calls) == 2)
        assert b"&wait_ms=0 " in discovery.calls[1]
        expires_in(w, 3000.0)
        discovery.answers.put_nowait(reply(503))
        await until(lambda: watch.poll is None)
        assert due_s(w) <= 3.0
        assert w.running is not None
        w.running.cancel()
        await discovery.stop()
    run(main())
