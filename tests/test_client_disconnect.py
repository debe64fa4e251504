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
    WAIT_TIMEOUT_S,
    Backend,
    GatedLoop,
    ProxyHarness,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
)

REJECTED = make_response(503, b"", b"X-Unprocessed: 1")
# A client either closes its connection, or half-closes it, which means that it shuts down its sending side.
DISCONNECT_MODES = ("closes", "half_closes")


class BlockingClient:
    """A client on a blocking socket.

    It disconnects in a single step, and the event loop does not notice this until it polls its sockets again.
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


def call_after_event(
    harness: ProxyHarness, event_type: type, event_number: int, callback: Callable[[], None]
) -> None:
    """Call `callback` when the balancer has handled a number of events of a type, counted from now on.

    The actions that the balancer returned for the last of these events have not been carried out by then.
    """
    handle = harness.proxy.driver.balancer.handle
    seen: list[api.Event] = []

    def handle_and_call_back(now_ms: float, event: api.Event) -> list[api.Action]:
        actions = handle(now_ms, event)
        if isinstance(event, event_type):
            seen.append(event)
            if len(seen) == event_number:
                callback()
        return actions

    harness.proxy.driver.balancer.handle = handle_and_call_back  # type: ignore[method-assign]


async def wait_until_finished(harness: ProxyHarness, request_count: int) -> None:
    """Wait until `request_count` requests have arrived in total and the proxy has finished all of them."""
    await wait_until(lambda: sum(isinstance(e, api.RequestArrived) for e in harness.events) == request_count)
    await wait_until(lambda: not harness.proxy.driver.requests)


@pytest.mark.parametrize("disconnect_mode", DISCONNECT_MODES)
# Each comment names the attempt that must not be sent.
@pytest.mark.parametrize(("event_type", "event_number", "expected_sent"), [
    (api.RequestArrived, 1, 0),  # The first attempt of a request.
    (api.RequestArrived, 2, 1),  # The first attempt of the second of two pipelined requests.
    (api.AttemptEnded, 1, 1),  # A retry.
])
def test_no_attempt_is_sent_after_the_client_has_disconnected(
    disconnect_mode: str, event_type: type, event_number: int, expected_sent: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without the delay before an idle connection is reused, the attempt is written to it at once.
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
            call_after_event(harness, event_type, event_number, client.disconnect)
            request_count = event_number if event_type is api.RequestArrived else 1
            client.send(*[f"r{i}" for i in range(request_count)])
            await wait_until_finished(harness, 1 + request_count)
            assert (len(backend.requests), backend.connection_count) == (1 + expected_sent, 1)
            assert harness.proxy.driver.open_request_count == 0
        await backend.stop()
    run_test(main())


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
    run_test(main())


@pytest.mark.parametrize("disconnect_mode", DISCONNECT_MODES)
def test_a_pipelined_request_is_not_begun_while_the_response_before_it_is_unread(
    disconnect_mode: str,
) -> None:
    """Most of the response to the first of two pipelined requests is still in the proxy's write buffer.

    The client disconnects without having read it, so the second request is not sent at all.
    """
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = BlockingClient(harness, disconnect_mode)
            await wait_until(lambda: bool(harness.proxy.frontend.connections))
            (connection,) = harness.proxy.frontend.connections
            server_socket = connection.transport.get_extra_info("socket")
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            backend.scripted_responses = [make_response(200, b"x" * 1_000_000)]
            client.send("r0", "r1")
            await wait_until(lambda: connection.transport.get_write_buffer_size() > 0)
            client.disconnect()
            await wait_until_finished(harness, 1)
            if disconnect_mode == "half_closes":
                received = await asyncio.to_thread(read_all, client.socket)
                assert received.startswith(b"HTTP/1.1 200 ")
                assert received.count(b"HTTP/1.1") == 1
                assert received.endswith(b"x" * 1_000_000)
            await wait_until(lambda: not harness.proxy.frontend.connections)
            assert len(backend.requests) == 1
            assert harness.proxy.driver.requests == {}
            client.socket.close()
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("disconnect_mode", DISCONNECT_MODES)
@pytest.mark.parametrize(("request_count", "body_bytes"), [(3, 60_000), (200, 0), (100, 30_000)])
def test_nothing_more_is_sent_for_a_client_that_has_left_with_much_unread(
    request_count: int, body_bytes: int, disconnect_mode: str,
) -> None:
    """Guards against requests that run for a client that closed its connection behind them.

    The end of the input follows all of it. A proxy that leaves much of it unread does not see the end.
    """
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = BlockingClient(harness, disconnect_mode)
            head = (b"POST /api HTTP/1.1\r\nX-Correlation-Id: r%d\r\nX-Service-Class: pay\r\n"
                    b"X-Time-Left: 4000m\r\nContent-Length: %d\r\n\r\n")
            raw = b"".join(head % (i, body_bytes) + b"x" * body_bytes for i in range(request_count))
            await asyncio.to_thread(client.socket.sendall, raw)
            await wait_until(lambda: len(backend.requests) == 1)
            client.disconnect()
            await wait_until(lambda: all(r.finished for r in harness.proxy.driver.requests.values()))
            for writer in list(backend.writers):
                writer.write(make_response())
            await wait_until(lambda: not harness.proxy.frontend.connections)
            assert len(backend.requests) == 1
            client.socket.close()
        await backend.stop()
    run_test(main())


def read_all(connection: socket.socket) -> bytes:
    """Read until the end of the connection."""
    connection.settimeout(WAIT_TIMEOUT_S)
    return b"".join(iter(lambda: connection.recv(1 << 20), b""))
