"""How much of what backends and discovery send is parsed in one iteration of the event loop."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import pytest

from honeywharf.net.response_reader import ResponseReader
from tests.proxy_harness import Backend, Client, ProxyHarness, run_test, synced_proxy, wait_until

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK_COUNT = 60_000
#: The parts of a body that may be parsed in one iteration: a few milliseconds of work.
MAX_PARTS_PER_ITERATION = 8192


def in_byte_chunks(body: bytes) -> bytes:
    return CHUNKED_HEAD + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"


@pytest.fixture
def parts_by_iteration(monkeypatch: pytest.MonkeyPatch) -> Counter[int]:
    """Count the parts of bodies that are parsed, by the iteration of the event loop."""
    counts: Counter[int] = Counter()
    iteration = 0
    watched: set[asyncio.AbstractEventLoop] = set()

    def next_iteration() -> None:
        nonlocal iteration
        iteration += 1
        asyncio.get_running_loop().call_soon(next_iteration)

    on_body = ResponseReader.on_body

    def count_and_add(reader: ResponseReader, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        if loop not in watched:
            watched.add(loop)
            loop.call_soon(next_iteration)
        counts[iteration] += 1
        on_body(reader, data)

    monkeypatch.setattr(ResponseReader, "on_body", count_and_add)
    return counts


async def receive_response(harness: ProxyHarness, backend: Backend) -> None:
    backend.default_response = in_byte_chunks(b"x" * CHUNK_COUNT)
    client = await Client.connect(harness.port)
    client.send("pay")
    assert await client.read_status() == 200


async def receive_list(harness: ProxyHarness, backend: Backend) -> None:
    entry = backend.discovery_entry("c", padding="x" * CHUNK_COUNT)
    raw = json.dumps({"generation": 2, "reset": False, "instances": [entry]}).encode()
    harness.discovery.responses.put_nowait(in_byte_chunks(raw))
    await wait_until(lambda: harness.proxy.pool.has_endpoint("c"))


@pytest.mark.usefixtures("disable_response_timeouts")
def test_a_finely_chunked_message_is_parsed_in_many_iterations(parts_by_iteration: Counter[int]) -> None:
    """Guards against servers, or a discovery, whose messages keep all clients waiting."""
    async def main() -> None:
        backend = await Backend().start()
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            for receive in (receive_response, receive_list):
                parts_by_iteration.clear()
                await receive(harness, backend)
                assert sum(parts_by_iteration.values()) >= CHUNK_COUNT
                assert max(parts_by_iteration.values()) <= MAX_PARTS_PER_ITERATION
        await backend.stop()
    run_test(main())
