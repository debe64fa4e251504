"""Stand-ins for the servers behind the proxy, in good order and in the drawn troubles."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from dataclasses import dataclass

from soak.http import chunked, read_message, response

WORK_S = (0.01, 0.04)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BYTE_CHUNKS = CHUNKED_HEAD + chunked(b"x" * 60_000, 1)
LONG_RESPONSE = response(200, b"x" * 400_000)
MANY_FIELDS = b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 3000
ENDLESS_PART = b"x" * 16_384
TRICKLE_S = 0.01


@dataclass
class Execution:
    """A request that a server has begun."""

    request_id: str
    time_s: float


class ServerFleet:
    """All servers; `trouble` names how they misbehave at the moment, if at all."""

    def __init__(self, count: int, seed: int) -> None:
        self.count, self.random = count, random.Random(seed)
        self.trouble: str | None = None
        self.executions: list[Execution] = []
        self.begun: Counter[str] = Counter()
        self.ports: list[int] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on a free port for each server."""
        for _ in range(self.count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening, and close all connections."""
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        ended = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError)
        with contextlib.suppress(*ended):
            while True:
                request = await read_message(reader)
                request_id = request.headers.get("x-correlation-id", "")
                self.executions.append(Execution(request_id, time.monotonic()))
                self.begun[request_id] += 1
                await asyncio.sleep(self.random.uniform(*WORK_S))
                # Half of the responses are in good order, so that the proxy cannot just eject all servers.
                trouble = self.trouble if self.random.random() < 0.5 else None
                await self._respond(writer, trouble)
        self.writers.discard(writer)
        writer.transport.abort()

    async def _respond(self, writer: asyncio.StreamWriter, trouble: str | None) -> None:
        if trouble == "byte_chunks":
            writer.write(BYTE_CHUNKS)
        elif trouble == "long_responses":
            writer.write(LONG_RESPONSE)
        elif trouble == "many_fields":
            writer.write(MANY_FIELDS)
        elif trouble == "endless":
            writer.write(CHUNKED_HEAD)
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(ENDLESS_PART), ENDLESS_PART))
                await writer.drain()
        elif trouble == "trickle":
            for byte in response(200, b"x" * 400):
                writer.write(bytes([byte]))
                await asyncio.sleep(TRICKLE_S)
        elif trouble == "cut_off":
            writer.write(response(200, b"x" * 4000)[:2000])
            raise ConnectionError
        elif trouble == "hang":
            await asyncio.sleep(60.0)
        else:
            writer.write(response(200, b"ok"))
            if trouble == "unsolicited":
                writer.write(response(200, b"again") * self.random.randint(1, 200))
        await writer.drain()
