"""A request is not sent to a backend once its client has disconnected; tested over real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from honeywharf import interface as api
from honeywharf.net import connection_pool
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
# A client either closes its connection, or cancels by shutting down its sending side.
DISCONNECT_MODES = ("closes", "cancels")


class BlockingClient:
    """A client on a blocking socket.

    It disconnects in a single step, which the event loop does not notice before it polls its sockets again.
    """

    def __init__(self, harness: ProxyHarness, disconnect_mode: str) -> None:
        self.socket = socket.create_connection(("127.0.0.1", harness.port))
        self.disconnect_mode = disconnect_mode

    def disconnect(self) -> None:
        if self.disconnect_mode == "closes":
            self.socket.close()
        else:
            self.socket.shutdown(socket.SHUT_WR)

    def send(self, *request_ids: str, class_name: str = "read") -> None:
        self.socket.sendall(b"".join(
            f"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {request_id}\r\n"
            f"X-Service-Class: {class_name}\r\nX-Time-Left: 4000m\r\n\r\n".encode()
            for request_id in request_ids))


class DisconnectingLoop(GatedLoop):
    """Wraps an event loop and disconnects a client at the moment when a new connection is established."""

    def __init__(self, loop: asyncio.AbstractEventLoop, client: BlockingClient) -> None:
        super().__init__(loop)
        self.client = client
        self.connections_allowed.set()

    async def create_connection(self, *args: Any) -> Any:
        connection = await super().create_connection(*args)
        self.client.disconnect()
        return connection


def call_during_event(
    harness: ProxyHarness, event_type: type, number: int, callback: Callable[[], None]
) -> None:
    """Call back while the decision module handles its n-th event of a type, where n is `number`."""
    handle = harness.proxy.driver.balancer.handle
    seen: list[api.Event] = []

    def handle_and_call(now_ms: float, event: api.Event) -> list[api.Action]:
        actions = handle(now_ms, event)
        if isinstance(event, event_type):
            seen.append(event)
            if len(seen) == number:
                callback()
        return actions

    harness.proxy.driver.balancer.handle = handle_and_call  # type: ignore[method-assign]


async def wait_until_finished(harness: ProxyHarness, arrived: int) -> None:
    """Wait until this many requests have arrived and the proxy has finished all of them."""
    await wait_until(lambda: sum(isinstance(e, api.RequestArrived) for e in harness.events) == arrived)
    await wait_until(lambda: not harness.proxy.driver.requests)


@pytest.mark.parametrize("disconnect_mode", DISCONNECT_MODES)
@pytest.mark.parametrize(("event_type", "number", "sent"), [
    (api.RequestArrived, 1, 0),  # The first attempt of a request.
    (api.RequestArrived, 2, 1),  # The first attempt of the second of two pipelined requests.
    (api.AttemptEnded, 1, 1),  # A retry.
])
def test_no_attempt_is_sent_after_the_client_has_disconnected(
    disconnect_mode: str, event_type: type, number: int, sent: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without a settling time, the attempt is written to an idle connection at once.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 0.0)

    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            # The first request leaves an idle connection to the backend.
            first_client = BlockingClient(harness, disconnect_mode)
            first_client.send("warm")
            await wait_until_finished(harness, 1)
            if event_type is api.AttemptEnded:
                backend.scripted_responses = [REJECTED]
            client = BlockingClient(harness, disconnect_mode)
            call_during_event(harness, event_type, number, client.disconnect)
            request_count = number if event_type is api.RequestArrived else 1
            client.send(*[f"r{i}" for i in range(request_count)])
            await wait_until_finished(harness, 1 + request_count)
            assert (len(backend.requests), backend.connection_count) == (1 + sent, 1)
            assert harness.proxy.driver.open_request_count == 0
        await backend.stop()
    run_with_timeout(main())


@pytest.mark.parametrize("disconnect_mode", DISCONNECT_MODES)
def test_nothing_is_sent_on_a_connection_established_as_the_client_disconnects(disconnect_mode: str) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = BlockingClient(harness, disconnect_mode)
            harness.proxy.pool.loop = DisconnectingLoop(harness.proxy.loop, client)  # type: ignore[assignment]
            client.send("r0")
            await wait_until_finished(harness, 1)
            assert backend.requests == []
            # The connection carries no request and stays in the pool, so the next call reuses it.
            harness.proxy.pool.loop = harness.proxy.loop
            second_client = BlockingClient(harness, disconnect_mode)
            second_client.send("r1")
            await wait_until_finished(harness, 2)
            assert (len(backend.requests), backend.connection_count) == (1, 1)
        await backend.stop()
    run_with_timeout(main())


def test_no_retry_for_a_client_that_cancels_before_it_has_read_its_previous_response() -> None:
    """Most of the response to the first of two pipelined requests is still in the proxy's write buffer."""
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = BlockingClient(harness, "cancels")
            await wait_until(lambda: bool(harness.proxy.frontend.connections))
            (connection,) = harness.proxy.frontend.connections
            server_socket = connection.transport.get_extra_info("socket")
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            backend.scripted_responses = [make_response(200, b"x" * 1_000_000), None]
            client.send("r0", "r1")
            await wait_until(lambda: len(backend.requests) == 2)
            await wait_until(lambda: connection.transport.get_write_buffer_size() > 0)
            client.disconnect()
            await wait_until(connection.transport.is_closing)
            for writer in list(backend.writers):
                writer.write(REJECTED)
            await wait_until_finished(harness, 2)
            assert len(backend.requests) == 2
            client.socket.close()
        await backend.stop()
    run_with_timeout(main())
