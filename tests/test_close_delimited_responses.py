"""Responses without a length, which end with their connection (RFC 9112, section 6.3), over real sockets."""

from __future__ import annotations

import json

import pytest

from honeywharf import interface as api
from honeywharf.net import http1, response_reader
from tests.proxy_harness import (
    Backend,
    Client,
    ProxyHarness,
    discovery_entry,
    reset_connection,
    run_test,
    started_proxy,
    synced_proxy,
    wait_for_list,
    wait_until,
    with_timeout,
)

pytestmark = pytest.mark.usefixtures("disable_response_timeouts")

Outcome = api.Outcome
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


async def wait_for_bytes(harness: ProxyHarness, received: bytes) -> None:
    """Wait until the proxy has read these bytes, none of which completes the response."""
    await wait_until(lambda: harness.proxy.pool.response_memory.used_bytes == len(received))


async def send_and_wait(backend: Backend, harness: ProxyHarness, received: bytes) -> Client:
    """Send a payment, and wait until the proxy has read the bytes that the backend responds with."""
    client = await Client.connect(harness.port)
    client.send("pay")
    await with_timeout(backend.request_received.wait())
    await wait_for_bytes(harness, received)
    return client


@pytest.mark.parametrize("pieces", [
    [HEAD + b"\r\nwhole"], [HEAD + b"Connection: close\r\n\r\n", b"who", b"le"],
    [HEAD + b"Connection: keep-alive\r\n\r\n", b"whole"], [b"HTTP/1.0 200 OK\r\n\r\nwhole"],
    [b"HTTP/1.1 103 Early\r\n\r\n" + HEAD + b"\r\nwhole"],
])
def test_a_response_without_a_length_that_ends_in_order_is_forwarded(pieces: list[bytes]) -> None:
    """Guards against payments that ran and were answered 502, because their response had no length."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = pieces[0]
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await send_and_wait(backend, harness, pieces[0])
            (writer,) = backend.writers
            for count, piece in enumerate(pieces[1:], 2):
                writer.write(piece)
                await wait_for_bytes(harness, b"".join(pieces[:count]))
            writer.close()
            status_line, _, body = await client.read_response()
            assert (status_line, body) == (b"HTTP/1.1 200 OK", b"whole")
            assert [event.outcome for event in harness.ended_attempts()] == [Outcome.OK]
            pool = harness.proxy.pool
            assert (pool.total_connections, pool.response_memory.used_bytes) == (0, 0)
            assert pool.counts == {"responses ended by eof": 1}
            client.send("pay")  # The connection of the client serves further requests.
            await wait_until(lambda: len(backend.requests) == 2)
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize("read_first", [True, False])
@pytest.mark.parametrize("response", [
    HEAD + b"\r\n", HEAD + b"\r\nwhole", HEAD + b"Connection: close\r\n\r\nhalf",
])
def test_a_reset_is_not_the_end_of_a_response_without_a_length(response: bytes, read_first: bool) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = response if read_first else None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await send_and_wait(backend, harness, response if read_first else b"")
            (writer,) = backend.writers
            if not read_first:  # The reset follows the response before the proxy has read it.
                writer.write(response)
            reset_connection(writer)
            assert await client.read_status() == 502
            assert [event.outcome for event in harness.ended_attempts()] == [Outcome.RESET]
            assert len(backend.requests) == 1  # A payment that may have run is not sent again.
            assert harness.proxy.pool.counts == {"calls ended by reset": 1}
        await backend.stop()
    run_test(main())


@pytest.mark.parametrize(("response", "outcome"), [
    (b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\n\r\nfull", Outcome.REJECTED),
    (b"HTTP/1.1 503 X\r\n\r\n", Outcome.ERROR),
    (b"HTTP/1.1 500 X\r\n\r\nfailed", Outcome.ERROR),
    (HEAD + b"Content-Length: 10\r\n\r\nshort", Outcome.RESET),
    (HEAD + CHUNKED + b"5\r\nshort\r\n", Outcome.RESET),
    (HEAD + b"Transfer-Encoding: gzip\r\n\r\npacked", Outcome.RESET),  # a coding that the proxy cannot read
    (HEAD + b"Content-Type: text/plain\r\n", Outcome.RESET),
    (b"HTTP/1.1 103 Early\r\n\r\n", Outcome.RESET),
])
def test_outcome_of_a_response_whose_connection_ends_in_order(response: bytes, outcome: api.Outcome) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = response
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 1}) as harness:
            client = await send_and_wait(backend, harness, response)
            for writer in list(backend.writers):
                writer.close()
            assert await client.read_status() == (503 if outcome is Outcome.REJECTED else 502)
            assert [event.outcome for event in harness.ended_attempts()] == [outcome]
            assert len(backend.requests) == 1
        await backend.stop()
    run_test(main())


def test_a_close_delimited_response_is_limited_in_size() -> None:
    reader = response_reader.ResponseReader(max_body_bytes=10)
    assert reader.feed(HEAD + b"\r\n" + b"x" * 10) is None
    with pytest.raises(http1.MalformedMessageError):
        reader.feed(b"x")


@pytest.mark.parametrize(("received", "is_complete"), [(1.0, True), (0.5, False)])
def test_a_list_without_a_length_that_ends_in_order_is_applied(received: float, is_complete: bool) -> None:
    """Guards against lists that were never applied, because the response of discovery had no length."""
    body = json.dumps({"generation": 2, "reset": True, "instances": [discovery_entry("c", 1)]}).encode()

    async def main() -> None:
        async with started_proxy([]) as harness:
            discovery = harness.discovery
            await with_timeout(discovery.request_received.wait())
            discovery.responses.put_nowait(HEAD + b"\r\n" + body[:int(received * len(body))])
            client = harness.proxy.discovery_client
            await wait_until(lambda: client.poll is not None and client.poll.response_started_ms is not None)
            (writer,) = discovery.connections
            writer.close()
            if is_complete:
                event = await wait_for_list(harness, 2)
                assert [endpoint.id for endpoint in event.endpoints] == ["c"]
                assert not client.counts["polls lost"]
            else:
                await wait_until(lambda: client.counts["polls failed"] == 1)
                assert harness.proxy.directory.generation == 1
            # The proxy polls again, on a new connection.
            await wait_until(lambda: len(discovery.request_lines) == 2)
    run_test(main())
