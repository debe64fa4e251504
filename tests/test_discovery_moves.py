"""Discovery at another address or with a history of its own, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf import interface as api
from tests.loopback import (
    Backend,
    Client,
    Discovery,
    World,
    lists,
    reply,
    row,
    run,
    soon,
    until,
    world,
)


async def moved(w: World, discovery: Discovery, held: int = 1) -> None:
    """Wait until the watch stands at that discovery: the changes since the list held first, then a watch."""
    await until(lambda: len(discovery.calls) >= 2)
    assert discovery.calls[0] == b"GET /registry/instances?after=%d&wait_ms=0 HTTP/1.1" % held
    assert b"?after=" in discovery.calls[1]
    assert b"&wait_ms=4000 " in discovery.calls[1]


def test_a_moved_watch_goes_on_from_the_list_held_and_keeps_its_state() -> None:
    """Guards against full lists for all proxies at once, which take longer than the list held may be used."""
    async def main() -> None:
        backend, other = await Backend().start(), await Discovery().start()
        backend.then = None
        async with world([backend.row("b")]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            client = await Client.to(w.port)
            client.send()
            await soon(backend.came.wait())
            record = w.proxy.driver.balancer.host_set.servers["b"]
            w.proxy.watch.change_address(("127.0.0.1", other.port))
            assert w.proxy.watch.first_poll_done  # it stays in service
            await until(lambda: len(other.calls) == 1)
            w.discovery.tell(50, row("late", 9))  # the old connection speaks up late
            other.tell(3, row("c", 2), reset=False)
            await moved(w, other)
            assert b"after=3&" in other.calls[1]
            assert [e.kind for e in lists(w)] == [api.ListKind.CACHED, api.ListKind.CHANGES]
            assert w.proxy.pool.has_endpoint("c")
            assert w.proxy.driver.balancer.host_set.servers["b"] is record
            assert not w.proxy.pool.has_endpoint("late")
            for writer in list(backend.writers):
                writer.write(reply())
            assert await client.status() == 200
            assert backend.connections == 1
            for writer in list(w.discovery.connections):  # and its late loss touches nothing
                writer.transport.abort()
            other.tell(4, row("d", 3))
            await until(lambda: w.proxy.pool.has_endpoint("d"))
            assert len(other.connections) == 1
        await other.stop()
        await backend.stop()
    run(main())


def test_a_watch_moved_again_and_again_ends_at_the_last_address() -> None:
    async def main() -> None:
        first, last = await Discovery().start(), await Discovery().start()
        async with world([row("b", 1)]) as w:
            for _ in range(5):  # each while the connection before is still coming up
                w.proxy.watch.change_address(("127.0.0.1", first.port))
                await asyncio.sleep(0)
                w.proxy.watch.change_address(("127.0.0.1", last.port))
                await asyncio.sleep(0)
            await until(lambda: len(last.calls) >= 1)
            last.tell(2, row("e", 5), row("b", 1, lifecycle="removed"))
            await moved(w, last)
            assert len(last.connections) == 1
            assert w.proxy.pool.has_endpoint("e")
            assert not w.proxy.pool.has_endpoint("b")
            await until(lambda: not first.connections)
        await first.stop()
        await last.stop()
    run(main())


def test_an_address_that_is_not_up_yet_is_tried_until_it_answers() -> None:
    async def main() -> None:
        other = await Discovery().start()
        port = other.port
        await other.stop()
        async with world([row("b", 1)]) as w:
            w.proxy.watch.change_address(("127.0.0.1", port))
            await until(lambda: w.proxy.watch.failures >= 2)
            assert w.proxy.watch.first_poll_done
            assert w.proxy.pool.has_endpoint("b")
            await other.start(port)
            other.answers.put_nowait(reply(503))
            other.tell(2, row("f", 6))
            await until(lambda: w.proxy.pool.has_endpoint("f"))
            assert other.calls[:2] == [b"GET /registry/instances?after=1&wait_ms=0 HTTP/1.1"] * 2
        await other.stop()
    run(main())


def test_a_watch_moves_while_the_proxy_drains() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await Discovery().start()
        backend.then = None
        async with world([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(backend.came.wait())
            w.proxy.drain()
            w.proxy.watch.change_address(("127.0.0.1", other.port))
            other.tell(1, backend.row("b"))
            await moved(w, other)
            for writer in list(backend.writers):
                writer.write(reply())
            assert await client.status() == 200
        await other.stop()
        await backend.stop()
    run(main())


@pytest.mark.parametrize("moves", [True, False])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_changes_to_an_older_generation_are_left_and_the_full_list_is_taken(mode: str, moves: bool) -> None:
    """Guards against entries that the service has lost, as it started anew or another one answers."""
    async def main() -> None:
        other = await Discovery().start()
        async with world([row("b", 1)], discovery=mode, contract={"askEveryMs": 1000.0}) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            if moves:
                w.proxy.watch.change_address(("127.0.0.1", other.port))
            asked = other if moves else w.discovery
            calls = 0 if moves else 1
            await until(lambda: len(asked.calls) == calls + 1)
            asked.tell(0, row("lost", 9))
            await until(lambda: len(asked.calls) == calls + 2)
            assert asked.calls[-1] == b"GET /registry/instances HTTP/1.1"
            assert w.proxy.pool.has_endpoint("b")
            assert not w.proxy.pool.has_endpoint("lost")
            asked.tell(0, row("c", 2))
            await until(lambda: w.proxy.pool.has_endpoint("c"))
            assert not w.proxy.pool.has_endpoint("b")
            await until(lambda: len(asked.calls) == calls + 3)
            assert b"?after=0&" in asked.calls[-1]
        await other.stop()
    run(main())
