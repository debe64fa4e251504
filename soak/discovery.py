"""A stand-in for discovery, in good order and in the drawn troubles."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from functools import cached_property
from typing import Any

from soak.http import read_message, response
from soak.scenario import ZONES

DISCOVERY_HOST = "127.0.0.1"
LONG_LIST_COUNT = 4096
CHANGED_COUNT = 20
FIRST_START_MS = 1_700_000_000_000
# Where a server that the list names does not exist, connections are refused.
ABSENT_PORT = 9
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_PART = b" " * 16_384


class Discovery:
    """Keeps the list of servers, and answers full requests and watches; `trouble` names how it misbehaves."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        servers = [self._entry(i, f"127.0.0.1:{port}", "up") for i, port in enumerate(ports)]
        # Draining ones: they add to the list and get no requests.
        others = [
            self._entry(i, f"127.0.{i // 250}.{i % 250}:{ABSENT_PORT}", "draining")
            for i in range(len(servers), LONG_LIST_COUNT)]
        self.short_list, self.other_servers = servers, others
        self.long_list_json = json.dumps([*servers, *others]).encode()
        self.long_list_generation = 0  # the generation of the long list that was last sent
        self.trouble: str | None = None
        self.generation = 10
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the same one again."""
        self.server = await asyncio.start_server(self._serve, DISCOVERY_HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def change(self) -> None:
        """Start a new generation, so that all watches are answered."""
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _entry(number: int, address: str, lifecycle: str) -> dict[str, Any]:
        return {
            "instanceId": f"s-{number * 2654435761 % 2**32:08x}", "hostPort": address,
            "zone": ZONES[number % len(ZONES)], "machineType": "kasa-duzy", "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}

    @cached_property
    def byte_chunks(self) -> bytes:
        """The long list in chunks of one byte."""
        return b"".join(b"1\r\n%c\r\n" % byte for byte in self.long_list_json)

    def full_list(self) -> dict[str, Any]:
        """Return the list of the servers in the form of the service protocol."""
        return {"generation": self.generation, "reset": True, "instances": self.short_list}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            while True:
                request = await read_message(reader)
                await self._respond(request.first_line, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.transport.abort()

    async def _respond(self, first_line: str, writer: asyncio.StreamWriter) -> None:
        after = re.search(r"after=(\d+)&wait_ms=(\d+)", first_line)
        if self.trouble == "resets":
            raise ConnectionError
        if self.trouble == "silent":
            await asyncio.sleep(60.0)
        elif self.trouble == "garbage":
            writer.write(response(200, b'{"generation":"x","instances":[[1,{"instanceId":5}]'))
            return
        elif self.trouble == "endless_list":
            writer.write(CHUNKED_HEAD)
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(ENDLESS_PART), ENDLESS_PART))
                await writer.drain()
        if after is not None and int(after[1]) == self.generation and self.trouble is None:
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), int(after[2]) / 1000.0)
        if self.trouble is not None:
            self.generation += 1  # each poll is answered at once, with a new list
        head = b'{"generation": %d, "reset": true, "instances": ' % self.generation
        if self.trouble == "byte_chunked_list":
            writer.write(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(head), head))
            writer.write(self.byte_chunks + b"1\r\n}\r\n0\r\n\r\n")
        elif self.trouble == "restarting_list":
            writer.write(response(200, head + self._restarted_list() + b"}"))
        elif self.trouble == "many_changes" and self.long_list_generation:
            writer.write(response(200, self._changes()))
        elif self.trouble in ("long_list", "many_changes"):
            self.long_list_generation = self.generation
            writer.write(response(200, head + self.long_list_json + b"}"))
        elif after is None or int(after[1]) != self.generation:
            writer.write(response(200, json.dumps(self.full_list()).encode()))
        else:
            no_change = b'{"generation": %d, "reset": false, "instances": []}' % self.generation
            writer.write(response(200, no_change))

    def _restarted_list(self) -> bytes:
        """Return the long list after a restart of all of its servers."""
        started = b'"startedAtMs": %d' % (FIRST_START_MS + self.generation)
        return self.long_list_json.replace(b'"startedAtMs": 0', started)

    def _changes(self) -> bytes:
        """Return a change of a few servers of the long list."""
        first = self.generation * CHANGED_COUNT % len(self.other_servers)
        changed = [{**entry, "weight": 2.0} for entry in self.other_servers[first:first + CHANGED_COUNT]]
        return json.dumps({"generation": self.generation, "reset": False, "instances": changed}).encode()
