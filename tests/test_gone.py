"""Nothing is sent on for a client that has closed or cancelled, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from honeywharf import interface as api
from honeywharf.net import upstream
from tests.proxy_harness import (
    Backend,
    GatedLoop,
    ProxyHarness,
    make_response,
    run_with_timeout,
    synced_proxy,
    wait_until,
)

REJECTED = make_response(503, b"", b"X-Unprocessed: 1")
LEAVE = ("closes", "cancels")


class Caller:
    """A client on a plain socket, which leaves in one step, unseen by the loop until its next look."""

    def __init__(self, harness: ProxyHarness, how: str) -> None:
        self.socket = socket.create_connection(("127.0.0.1", harness.port))
        self.how = how

    def leave(self) -> None:
        if self.how == "closes":
            self.socket.close()
        else:
            self.socket.shutdown(socket.SHUT_WR)

    def send(self, *names: str, class_name: str = "read") -> None:
        self.socket.sendall(b"".join(
            f"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: {class_name}\r\nX-Time-Left: 4000m\r\n\r\n".encode() for name in names))


class Leaving(GatedLoop):
    """The loop, except that a client leaves in the moment in which a new connection comes up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, caller: Caller) -> None:
        super().__init__(loop)
        self.caller = caller
        self.connections_allowed.set()

    async def create_connection(self, *args: Any) -> Any:
        made = await super().create_connection(*args)
        self.caller.leave()
        return made


def upon(harness: ProxyHarness, kind: type, number: int, what: Callable[[], None]) -> None:
    """Do something while the module decides on the so-manyth event of a kind."""
    handle = harness.proxy.driver.balancer.handle
    seen: list[api.Event] = []

    def hooked(now_ms: float, event: api.Event) -> list[api.Action]:
        actions = handle(now_ms, event)
        if isinstance(event, kind):
            seen.append(event)
            if len(seen) == number:
                what()
        return actions

    harness.proxy.driver.balancer.handle = hooked  # type: ignore[method-assign]


async def over(harness: ProxyHarness, arrived: int) -> None:
    """Until so many requests have come and nothing is left of them."""
    await wait_until(lambda: sum(isinstance(e, api.RequestArrived) for e in harness.events) == arrived)
    await wait_until(lambda: not harness.proxy.driver.requests)


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize(("moment", "number", "sent"), [
    (api.RequestArrived, 1, 0),  # a first attempt
    (api.RequestArrived, 2, 1),  # that of a request sent ahead on the connection
    (api.AttemptEnded, 1, 1),  # a further attempt
])
def test_no_attempt_leaves_once_its_client_has_left(
    how: str, moment: type, number: int, sent: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "SETTLE_MS", 0.0)  # an open connection carries the attempt at once

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            other = Caller(harness, how)
            other.send("warm")
            await over(harness, 1)
            if moment is api.AttemptEnded:
                backend.scripted_responses = [REJECTED]
            caller = Caller(harness, how)
            upon(harness, moment, number, caller.leave)
            arrive = number if moment is api.RequestArrived else 1
            caller.send(*[f"r{i}" for i in range(arrive)])
            await over(harness, 1 + arrive)
            assert (len(backend.requests), backend.connection_count) == (1 + sent, 1)
            assert harness.proxy.driver.open_requests == 0
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("how", LEAVE)
def test_nothing_leaves_on_a_connection_that_comes_up_as_the_client_leaves(how: str) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            caller = Caller(harness, how)
            harness.proxy.pool.loop = Leaving(harness.proxy.loop, caller)  # type: ignore[assignment]
            caller.send("r0")
            await over(harness, 1)
            assert backend.requests == []
            # The connection is as good as new: the next call takes it.
            harness.proxy.pool.loop = harness.proxy.loop
            other = Caller(harness, how)
            other.send("r1")
            await over(harness, 2)
            assert (len(backend.requests), backend.connection_count) == (1, 1)
        await backend.stop()
    run_with_timeout(main())


def test_no_further_attempt_for_a_client_that_cancels_with_an_answer_not_taken_off() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            caller = Caller(harness, "cancels")
            await wait_until(lambda: bool(harness.proxy.frontend.connections))
            (connection,) = harness.proxy.frontend.connections
            small = connection.transport.get_extra_info("socket")
            small.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            backend.scripted_responses = [make_response(200, b"x" * 1_000_000), None]
            caller.send("r0", "r1")
            await wait_until(lambda: len(backend.requests) == 2)
            await wait_until(lambda: connection.transport.get_write_buffer_size() > 0)
            caller.leave()
            await wait_until(connection.transport.is_closing)
            for writer in list(backend.writers):
                writer.write(REJECTED)
            await over(harness, 2)
            assert len(backend.requests) == 2
            caller.socket.close()
        await backend.stop()
    run_with_timeout(main())
