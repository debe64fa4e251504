"""The watch over real sockets, and what lists do to the pool."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from honeywharf import __main__ as main_module, interface as api
from honeywharf.net import discovery as discovery_module
from honeywharf.net.directory import parse_entry
from tests.loopback import (
    Backend,
    Client,
    Discovery,
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


def test_an_entry_in_the_modules_terms() -> None:
    entry, where = parse_entry(row("s", 3000, "y", "draining", startedAtMs=17, weight=1.5, cell=3))
    assert entry == api.Endpoint("s", "y", api.EndpointState.DRAINING, 3, 17.0, 1.5, "k")
    assert where == ("127.0.0.1", 3000)
    assert parse_entry(row("s", 1))[0].started_ms is None
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
        parse_entry({**row("s", 3000), **bad})


def test_the_watch_goes_on_from_the_last_version_and_at_once() -> None:
    async def main() -> None:
        async with world([row("b", 1)]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            assert w.discovery.calls[0].startswith(b"GET /registry/instances?after=1&wait_ms=0 ")
            assert w.discovery.calls[1].startswith(b"GET /registry/instances?after=1&wait_ms=4000 ")
            w.discovery.tell(7, row("c", 2))
            event = await told(w, 2)
            assert (event.kind, event.generation) == (api.ListKind.CHANGES, 7)
            await until(lambda: len(w.discovery.calls) == 3)
            assert b"after=7&" in w.discovery.calls[2]
            assert len(w.discovery.connections) == 1
    run(main())


@pytest.mark.parametrize("changes", [0, 1])
def test_a_poll_that_the_module_asks_for_upon_a_list_times_out_too(
    changes: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a poll that falls silent, with none after it, as the list before it took its timer."""
    monkeypatch.setattr(discovery_module, "FULL_LIST_TIMEOUT_MS", 50.0)

    async def main() -> None:
        async with world([row("b", 1)], discovery="ask", contract={"askEveryMs": 1000.0}) as w:
            watch, notify = w.proxy.watch, w.proxy.watch.notify
            await until(lambda: len(w.discovery.calls) == 2)

            def ask(event: api.EndpointsListed | api.ListExpiryChanged) -> None:
                notify(event)
                watch.notify = notify
                watch.fetch()

            watch.notify = ask
            w.discovery.tell(2, *[row("c", 2)] * changes)
            # The full list, which is never answered, and the poll after it has timed out.
            await until(lambda: len(w.discovery.calls) >= 4)
            assert w.discovery.calls[2].startswith(b"GET /registry/instances HTTP")
    run(main())


def test_a_drained_backend_gets_nothing_new_and_a_full_list_replaces() -> None:
    async def main() -> None:
        one, two = await Backend().start(), await Backend().start()
        async with world([one.row("one"), two.row("two")]) as w:
            client = await Client.to(w.port)
            w.discovery.tell(2, one.row("one", lifecycle="draining"))
            await told(w, 2)
            for _ in range(12):
                client.send()
                assert await client.status() == 200
            assert one.requests == []
            w.discovery.tell(3, one.row("one"), reset=True)
            event = await told(w, 3)
            assert event.kind is api.ListKind.FULL
            assert not w.proxy.pool.has_endpoint("two")
            for _ in range(3):
                client.send()
                assert await client.status() == 200
            assert len(one.requests) == 3
        await one.stop()
        await two.stop()
    run(main())


@pytest.mark.parametrize("change", [{"lifecycle": "removed"}, {"lifecycle": "draining"}, {"startedAtMs": 99}])
def test_idle_connections_to_what_has_left_or_started_anew_are_closed(change: dict[str, Any]) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with world([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            w.discovery.tell(2, {**backend.row("b"), **change})
            await told(w, 2)
            await until(lambda: backend.closed == 1)
            assert w.proxy.pool.has_endpoint("b") == (change.get("lifecycle") != "removed")
        await backend.stop()
    run(main())


def test_a_connection_busy_while_its_backend_moves_is_not_kept_for_the_new_address() -> None:
    async def main() -> None:
        old, new = await Backend().start(), await Backend().start()
        old.then = None
        async with world([old.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(old.came.wait())
            w.discovery.tell(2, new.row("b"))
            await told(w, 2)
            for writer in list(old.writers):
                writer.write(reply())
            assert await client.status() == 200
            client.send()
            assert await client.status() == 200
            assert (len(old.requests), len(new.requests)) == (1, 1)
            await until(lambda: old.closed == 1)
        await old.stop()
        await new.stop()
    run(main())


@pytest.mark.parametrize("bad", [
    b"garbage\r\n\r\n", reply(503), reply(200, b"{"), reply(200, b"[]"), reply(200, b'{"instances":3}'),
    reply(200, b'{"generation":"x","instances":[]}'), b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{",
])
def test_the_watch_comes_back_after_a_bad_answer(bad: bytes) -> None:
    async def main() -> None:
        async with world([row("b", 1)]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            w.discovery.answers.put_nowait(bad)
            if bad.endswith(b"{") and b"Length: 5" in bad:
                await until(lambda: w.discovery.answers.empty())
                for writer in list(w.discovery.connections):
                    await writer.drain()
                    writer.close()
            await until(lambda: len(w.discovery.calls) >= 3)
            w.discovery.tell(4, {"odd": 1}, row("c", 2))  # the sound entry counts
            event = await told(w, 2)
            assert [e.id for e in event.endpoints] == ["c"]
            assert w.proxy.pool.has_endpoint("b")
    run(main())


def test_ready_only_once_a_list_is_held() -> None:
    async def main() -> None:
        async with started_world([]) as w:
            await soon(w.discovery.called.wait())
            ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
            client = await Client.to(w.port)
            assert await client.ask(ready) == 503
            assert [e.kind for e in lists(w)] == [api.ListKind.CACHED]
            w.discovery.tell(1, row("b", 1))
            await until(lambda: w.proxy.watch.first_poll_done)
            assert await client.ask(ready) == 200
    run(main())


def test_a_call_that_stands_in_line_is_not_given_up_soon() -> None:
    """Discovery takes calls in turn: whoever calls anew after a second goes back to the end of the line."""
    async def main() -> None:
        other = await Discovery().start()
        async with world([row("b", 1)]) as w:
            w.proxy.watch.change_address(("127.0.0.1", other.port))
            await soon(other.called.wait())
            timer = w.proxy.watch.poll_timer
            assert timer is not None
            assert 3.0 < timer.when() - asyncio.get_running_loop().time() < 6.0
        await other.stop()
    run(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("discovery_is", ["down", "silent", "refusing"])
def test_without_a_list_a_proxy_is_not_ready_at_once_but_well_within_10_s(
    mode: str, discovery_is: str, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What comes then is refused at once: nothing can be sent without a list."""
    assert main_module.READY_S < 8
    monkeypatch.setattr(main_module, "READY_S", 1e6)

    async def main() -> None:
        discovery = await Discovery().start()
        port = discovery.port
        if discovery_is == "down":
            await discovery.stop()
        if discovery_is == "refusing":  # its line is full
            for _ in range(1000):
                discovery.answers.put_nowait(reply(503))
        w = World(make_config(port, [], discovery=mode), discovery)
        await w.start()
        w.proxy.watch.watch()
        if discovery_is == "down":
            await until(lambda: mode == "ask" or w.proxy.watch.failures >= 2)
        else:
            await soon(discovery.called.wait())
        client = await Client.to(w.port)
        assert await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
        w.proxy._be_ready()
        assert await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        client.send()
        first, headers, _ = await client.answer()
        assert first.split()[1] == b"503"
        assert b"retry-after" in headers
        assert w.running is not None
        w.running.cancel()
        await discovery.stop()
    run(main())


def test_where_the_module_asks_for_watches_it_is_told_of_failures() -> None:
    async def main() -> None:
        async with started_world([row("b", 1)], discovery="ask") as w:
            assert w.discovery.calls == []
            w.proxy.driver._execute(api.WatchEndpoints())
            await soon(w.discovery.called.wait())
            w.discovery.answers.put_nowait(reply(503))
            await until(lambda: lists(w)[-1].kind is api.ListKind.FAILED)
            calls = len(w.discovery.calls)
            w.proxy.driver._execute(api.FetchEndpoints())
            await until(lambda: len(w.discovery.calls) > calls)
            assert w.discovery.calls[-1].startswith(b"GET /registry/instances ")
            w.discovery.tell(9, row("c", 2))
            await until(lambda: lists(w)[-1].kind is api.ListKind.FULL)
            assert not w.proxy.pool.has_endpoint("b")
        await asyncio.sleep(0)
    run(main())


def test_the_answer_to_a_poll_in_flight_is_not_taken_for_the_full_list_asked_for_meanwhile() -> None:
    async def main() -> None:
        async with world([row("b", 1)]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            w.proxy.driver._execute(api.FetchEndpoints())
            w.discovery.tell(2, row("c", 2))
            await until(lambda: len(w.discovery.calls) == 3)
            assert w.discovery.calls[2].startswith(b"GET /registry/instances ")
            assert w.proxy.pool.has_endpoint("b")
            assert w.proxy.pool.has_endpoint("c")
            w.discovery.tell(2, row("c", 2), reset=True)
            await until(lambda: not w.proxy.pool.has_endpoint("b"))
    run(main())


def test_a_refused_call_is_over_and_never_taken_for_a_silent_one() -> None:
    """Else the module's pause is left out from then on, and all proxies call each second."""
    async def main() -> None:
        async with started_world([row("b", 1)], discovery="ask") as w:
            for number in (1, 2):
                w.discovery.answers.put_nowait(reply(503))
                w.proxy.watch.watch()
                await until(lambda: sum(e.kind is api.ListKind.FAILED for e in lists(w)) == number)  # noqa: B023
                assert w.proxy.watch.poll_timer is None  # nothing is due before the module's next word
            assert not w.proxy.watch.first_poll_done
    run(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_call_after_a_failure_does_not_wait(mode: str) -> None:
    """It stands in line before a wait would begin: judged by its wait, it would be given up in line."""
    async def main() -> None:
        async with started_world([row("b", 1)], discovery=mode) as w:
            w.proxy.watch.watch()
            w.discovery.tell(1)
            await until(lambda: len(w.discovery.calls) == 2)
            assert b"&wait_ms=4000 " in w.discovery.calls[1]
            w.discovery.answers.put_nowait(reply(503))
            if mode == "ask":
                await until(lambda: lists(w)[-1].kind is api.ListKind.FAILED)
                w.proxy.watch.watch()  # the module's next word
            await until(lambda: len(w.discovery.calls) == 3)
            assert b"&wait_ms=0 " in w.discovery.calls[2]
    run(main())


def test_a_pushed_list_is_asked_for_again_within_the_grace_for_drains() -> None:
    """An agent that cannot be reached for long returns with a drain: that counts as told in that moment."""
    async def main() -> None:
        leaves, stays = await Backend().start(), await Backend().start()
        discovery = await Discovery().start()
        port = discovery.port
        await discovery.stop()
        rows = [leaves.row("leaves"), stays.row("stays")]
        w = World(make_config(port, rows, contract={"stopSendingWithinMs": 120.0}), discovery)
        await w.start()
        await until(lambda: w.proxy.watch.failures >= 8)  # its pause has grown as far as it will
        await until(lambda: w.proxy.watch.connect_task is None)
        timer, now = w.proxy.watch.poll_timer, asyncio.get_running_loop().time()
        assert timer is not None
        assert timer.when() - now <= 0.07
        await discovery.start(port)
        discovery.tell(2, leaves.row("leaves", lifecycle="draining"))
        await told(w, 2)
        client = await Client.to(w.port)
        client.send()
        assert await client.status() == 200
        assert leaves.requests == []
        assert w.running is not None
        w.running.cancel()
        for backend in (leaves, stays):
            await backend.stop()
        await discovery.stop()
    run(main())
