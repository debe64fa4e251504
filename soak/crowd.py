"""A crowd of bad clients of one proxy, in a process of its own.

It is started as `python -m soak.crowd KIND HOST PORT SEED DESCRIPTORS`, and runs until it is ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections.abc import Awaitable, Callable

REQUEST = (
    b"POST /api HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Service-Class: pledge\r\nX-Time-Left: 700m\r\n")
HALF_BODY = REQUEST + b"Content-Length: 65536\r\n\r\n" + b"x" * 40_000
SMALL_CHUNKS = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 20_000
SHORT_FIELDS = REQUEST + b"a:b\r\n" * 3000
VALID = REQUEST + b"Content-Length: 60000\r\n\r\n" + b"x" * 60_000
SMALL_REQUESTS = b"GET /none HTTP/1.1\r\n\r\n" * 3000
HOLD_S = 2.5
# How many clients there are, as a share of the proxy's descriptors. Clients may hold a third of these for
# requests; idle ones may fill them all.
REQUEST_CROWD, IDLE_CROWD, FLOOD_CROWD, SMALL_CROWD = 0.33, 0.8, 0.02, 0.004

Peer = Callable[["Crowd"], Awaitable[None]]


class Crowd:
    """The clients of one kind."""

    def __init__(self, host: str, port: int, seed: int) -> None:
        self.host, self.port, self.random = host, port, random.Random(seed)
        self.writer: asyncio.StreamWriter

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(self.host, self.port)

    def new_id(self) -> bytes:
        """Return an id that no request has had."""
        return b"c%032x" % self.random.getrandbits(128)

    async def hold(self, data: bytes) -> None:
        """Send something, and wait for the end of the connection."""
        reader, writer = await self.connect()
        writer.write(data)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(), HOLD_S)
        writer.transport.abort()

    async def send_and_read(self, data: bytes) -> None:
        """Send something, and read until nothing has come for a while."""
        reader, writer = await self.connect()
        writer.write(data)
        with contextlib.suppress(TimeoutError):
            while await asyncio.wait_for(reader.read(65_536), HOLD_S):
                pass
        writer.transport.abort()


async def half_body(crowd: Crowd) -> None:
    """Stop half way through a large request."""
    await crowd.hold(HALF_BODY % crowd.new_id())


async def short_fields(crowd: Crowd) -> None:
    """Send a head of very many short fields."""
    await crowd.hold(SHORT_FIELDS % crowd.new_id())


async def small_chunks(crowd: Crowd) -> None:
    """Stop in a body of small chunks."""
    await crowd.hold(SMALL_CHUNKS % crowd.new_id())


async def slow_writers(crowd: Crowd) -> None:
    """Write a valid request slowly."""
    _, writer = await crowd.connect()
    data = REQUEST % crowd.new_id() + b"Content-Length: 3000\r\n\r\n" + b"x" * 3000
    for i in range(0, len(data), 16):
        writer.write(data[i:i + 16])
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.transport.abort()


async def noise(crowd: Crowd) -> None:
    """Send 64 KiB of noise."""
    await crowd.send_and_read(crowd.random.randbytes(65_536))


async def small_requests(crowd: Crowd) -> None:
    """Send small requests at full speed on one connection."""
    await crowd.send_and_read(SMALL_REQUESTS)


async def unread_flood(crowd: Crowd) -> None:
    """Send requests at full speed, and read no response."""
    _, writer = await crowd.connect()
    for _ in range(200):
        writer.write(SMALL_REQUESTS)
        await asyncio.wait_for(writer.drain(), HOLD_S)
    writer.transport.abort()


async def new_names(crowd: Crowd) -> None:
    """Send requests that are no proper ones, under ever new ids, accounts and sessions, at full speed."""
    requests = [
        b"POST /api HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\n"
        b"Cookie: sid=%s\r\nX-Time-Left: 1m\r\nContent-Length: 0\r\n\r\n" % (
            crowd.new_id(), crowd.random.choice((b"pledge", crowd.new_id())), crowd.new_id(), crowd.new_id())
        for _ in range(50)]
    await crowd.send_and_read(b"".join(requests))


async def leaving(crowd: Crowd) -> None:
    """Send a valid request and leave before its response."""
    _, writer = await crowd.connect()
    writer.write(VALID % crowd.new_id())
    await asyncio.wait_for(writer.drain(), HOLD_S)
    await asyncio.sleep(crowd.random.uniform(0.0, 0.05))
    writer.transport.abort()


async def half_closed(crowd: Crowd) -> None:
    """Close the sending side after a request, and read nothing."""
    _, writer = await crowd.connect()
    writer.write(VALID % crowd.new_id())
    await asyncio.wait_for(writer.drain(), HOLD_S)
    writer.write_eof()
    await asyncio.sleep(HOLD_S)
    writer.transport.abort()


async def valid_flood(crowd: Crowd) -> None:
    """Send valid requests with large bodies, as fast as they are answered."""
    reader, writer = await crowd.connect()
    with contextlib.suppress(TimeoutError):
        for _ in range(20):
            writer.write(VALID % crowd.new_id())
            if not await asyncio.wait_for(reader.read(65_536), HOLD_S):
                break
    writer.transport.abort()


async def megabytes(crowd: Crowd) -> None:
    """Send 60 MB that are no proper request."""
    _, writer = await crowd.connect()
    for _ in range(60):
        writer.write(b"\0" * 1_000_000)
        await asyncio.wait_for(writer.drain(), HOLD_S)
    writer.transport.abort()


async def idle_crowd(crowd: Crowd) -> None:
    """Connect, send nothing and stay."""
    await crowd.hold(b"")


async def connect_storm(crowd: Crowd) -> None:
    """Connect and leave at once."""
    _, writer = await crowd.connect()
    writer.transport.abort()


PEERS: dict[str, tuple[Peer, float]] = {
    "half_body": (half_body, REQUEST_CROWD), "short_fields": (short_fields, REQUEST_CROWD),
    "small_chunks": (small_chunks, REQUEST_CROWD), "slow_writers": (slow_writers, REQUEST_CROWD),
    "noise": (noise, FLOOD_CROWD), "small_requests": (small_requests, SMALL_CROWD),
    "unread_flood": (unread_flood, SMALL_CROWD),
    "new_names": (new_names, FLOOD_CROWD), "leaving": (leaving, FLOOD_CROWD),
    "half_closed": (half_closed, REQUEST_CROWD), "valid_flood": (valid_flood, FLOOD_CROWD),
    "megabytes": (megabytes, SMALL_CROWD), "idle_crowd": (idle_crowd, IDLE_CROWD),
    "connect_storm": (connect_storm, FLOOD_CROWD),
}


async def repeat(peer: Peer, crowd: Crowd) -> None:
    """Let one client come again and again, until the process is ended."""
    while True:
        try:
            await peer(crowd)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0)


async def main(kind: str, host: str, port: int, seed: int, descriptors: int) -> None:
    """Run all clients of a kind at once."""
    peer, share = PEERS[kind]
    count = max(1, int(share * descriptors))
    crowd = Crowd(host, port, seed)
    await asyncio.gather(*(repeat(peer, crowd) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], *map(int, sys.argv[3:6])))
