"""Stand-ins for the cases 6 to 10: servers, discovery, clients, and the proxy as a process.

Everything runs on loopback addresses and the real clock. The stand-ins follow the users' pages: a server
answers each request after its work, discovery keeps a versioned list and answers watches, and clients send
one request at a time on a connection unless a case says otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


class Record:
    """The record of a case, one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.add(text)
        self.file.flush()
        print(text, flush=True)


@dataclass
class Message:
    """A request as a server or discovery received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id that the client gave the request."""
        return self.headers.get("x-correlation-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one request, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ", 2)
    return Message(method, target, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Format a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """A listening stand-in that handles each connection in a task of its own."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await self.handle_connection(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until its end."""
        raise NotImplementedError

    def die(self) -> None:
        """Stop as a killed process does: refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Server(Listener):
    """A server (backend) that answers 200 to each request after its work."""

    def __init__(self, name: str, zone: str, record: Record, work_ms: float, kind: str = "k") -> None:
        super().__init__()
        self.name, self.zone, self.record, self.work_ms, self.kind = name, zone, record, work_ms, kind
        self.received: list[tuple[float, Message]] = []
        #: Replaces the work and the answer of a request, if set; returns the answer, or None to reset.
        self.answer: Callable[[Message], Awaitable[bytes | None]] = self.work

    def entry(self, lifecycle: str = "up", started_ms: float = 0) -> dict[str, Any]:
        """Return the entry of this server in discovery's list."""
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone,
            "machineType": self.kind, "cell": 0, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": started_ms}

    def got_before(self, request_id: str, end: float) -> bool:
        """Return whether the server got a request before this time."""
        return any(m.id == request_id and t < end for t, m in self.received)

    async def work(self, message: Message) -> bytes | None:
        """Do the work of a request, and return its answer."""
        await asyncio.sleep(self.work_ms / 1000.0)
        return response(200, f"{message.id} by {self.name}".encode())

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection, one at a time."""
        while (message := await read_message(reader)) is not None:
            self.received.append((self.record.now(), message))
            self.record.add(
                f"{self.name} got {message.id} {message.headers.get('x-service-class')} "
                f"time left {message.headers.get('x-time-left')}")
            answer = await self.answer(message)
            if answer is None:
                reset(writer)
                return
            writer.write(answer)
            self.record.add(f"{self.name} answered {message.id} {answer[9:12].decode()}")


class Discovery(Listener):
    """Discovery, which keeps the list and tells its changes to watches.

    `turn` is awaited for each call before it is handled. It returns None, or how the call fails: "503" or
    "reset".
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.generation = 1
        self.news = asyncio.Event()
        self.turn: Callable[[], Awaitable[str | None]] | None = None
        self.calls = 0
        self.written: list[tuple[float, int]] = []  # the times and versions of the answers

    def set(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list, as one new version."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed[entry["instanceId"]] = self.generation
            self.record.add(f"discovery has {entry['instanceId']} {entry['lifecycle']} in {self.generation}")
        self.news.set()
        self.news = asyncio.Event()

    def body(self, after: int | None) -> bytes:
        """Return the whole list, or the changes after a version."""
        entries = [
            entry for name, entry in self.entries.items()
            if (entry["lifecycle"] != "removed" if after is None else self.changed[name] > after)]
        return json.dumps(
            {"generation": self.generation, "reset": after is None, "instances": entries}).encode()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection."""
        while (message := await read_message(reader)) is not None:
            self.calls += 1
            number = self.calls
            self.record.add(f"discovery got call {number} {message.target}")
            failure = None if self.turn is None else await self.turn()
            if failure is not None:
                self.record.add(f"discovery fails call {number} with {failure}")
                if failure == "reset":
                    reset(writer)
                    return
                writer.write(response(503))
                continue
            query = dict(part.split("=") for part in message.target.partition("?")[2].split("&") if part)
            after = int(query["after"]) if "after" in query else None
            if after is not None and after >= self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.news.wait(), int(query.get("wait_ms", "0")) / 1000.0)
            writer.write(response(200, self.body(after)))
            self.written.append((self.record.now(), self.generation))
            self.record.add(f"discovery answered call {number} with version {self.generation}")


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Proxy:
    """A proxy, started as its own process by `run` of the deploy file."""

    def __init__(
        self, name: str, folder: Path, discovery: Discovery, settings: dict[str, Any],
        known: dict[str, Any], record: Record, log_file: int | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.name, self.record, self.port = name, record, free_port()
        self.log = folder / f"{name}.log"
        config = folder / f"{name}.json"
        config.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": f"{time.time_ns():016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings}))
        self.config = config
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log if log_file is None else log_file, stderr=subprocess.STDOUT,
                env={**os.environ, "NODE_NAME": name, "NODE_LISTEN": f"127.0.0.1:{self.port}",
                     "NODE_DISCOVERY": f"127.0.0.1:{discovery.port}", "NODE_CONFIG": str(config),
                     "TMPDIR": str(folder)})

    def configure(self, **changes: Any) -> None:
        """Replace keys of the configuration file, in one step."""
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps({**json.loads(self.config.read_text()), **changes}))
        new.replace(self.config)

    async def ready(self) -> None:
        """Wait until the proxy says that it is ready."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CouldNotRunError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                status = (await reader.readuntil(b"\r\n")).split()[1]
                writer.close()
                if status == b"200":
                    self.record.add(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the proxy."""
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@dataclass
class Request:
    """A request of a client, and what became of it."""

    id: str
    class_name: str
    sent: float
    time_left_ms: float
    status: int | None = None
    answered: float | None = None
    note: str = ""
    body: bytes = b""
    cut: float | None = None  # when a connection on which it was sent ended with no answer


def request_bytes(
    request_id: str, class_name: str, effect: str, time_left_ms: float, body: bytes = b"",
) -> bytes:
    """Format a request as the protocol page asks; `effect` is that of its class in the settings."""
    lines = [
        f"{'GET' if effect == 'repeatable' else 'POST'} /api HTTP/1.1", "Host: app.svc",
        f"X-Correlation-Id: {request_id}", f"X-Service-Class: {class_name}",
        f"X-Time-Left: {time_left_ms:.0f}m"]
    if effect == "by_key":
        lines.append(f"Idempotency-Key: {request_id}-key")
    if effect != "repeatable":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one response that has a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(first.split()[1]), headers, await reader.readexactly(int(headers.get("content-length", "0")))


@dataclass
class Clients:
    """Clients of one proxy. They keep their connections, and open more once all are busy."""

    proxy: Proxy
    settings: dict[str, Any]
    record: Record
    requests: list[Request] = field(default_factory=list)
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    front_until: float = float("inf")  # from then on, the front sends new connections to other proxies

    async def send(self, class_name: str, time_left_ms: float, body: bytes = b"") -> Request:
        """Send one request, and wait for its answer for half a second longer than its time."""
        effect = next(p["idempotency"] for p in self.settings["profiles"] if p["name"] == class_name)
        request = Request(
            f"{self.proxy.name}-{len(self.requests):05d}-{os.urandom(3).hex()}", class_name,
            self.record.now(), time_left_ms)
        self.requests.append(request)
        raw = request_bytes(request.id, class_name, effect, time_left_ms, body)
        self.record.add(f"client sends {request.id} {class_name} time left {time_left_ms:.0f} ms")
        try:
            async with asyncio.timeout(time_left_ms / 1000.0 + 1.0):
                await self._exchange(request, raw)
        except TimeoutError:
            request.note = "no answer"
        except OSError as error:
            request.note = f"{type(error).__name__}"
        self.record.add(f"client got {request.id} {request.status} {request.note}")
        return request

    async def _exchange(self, request: Request, raw: bytes) -> None:
        fresh = not self.idle
        if fresh and self.record.now() >= self.front_until:
            request.note = "sent to another proxy"
            return
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(
            "127.0.0.1", self.proxy.port)
        try:
            writer.write(raw)
            request.status, headers, request.body = await read_response(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            reset(writer)
            request.cut = self.record.now()
            if fresh or request.note:
                request.note = "closed with no answer"
            else:  # the close may have crossed the request: it is sent once more on a new connection
                request.note = "sent once more"
                self.idle = [i for i in self.idle if not i[0].at_eof()]
                await self._exchange(request, raw)
            return
        except asyncio.CancelledError:
            reset(writer)
            raise
        request.answered = self.record.now()
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))


@dataclass
class Deployment:
    """A small deployment: discovery, its servers in several zones, and one proxy of the first tier."""

    record: Record
    settings: dict[str, Any]
    servers: list[Server]
    discovery: Discovery
    proxy: Proxy

    @classmethod
    async def start(
        cls, folder: Path, record: Record, settings: dict[str, Any], work_ms: float,
        log_file: int | None = None, limits: dict[str, Any] | None = None,
    ) -> Deployment:
        """Start six servers, three of them in the proxy's zone, then discovery and the proxy.

        The proxy's log goes to `log_file`, or else to a file of the temporary folder.
        """
        zones = settings["zones"]
        servers = [
            Server(f"s-{number}", zones[max(0, number - 2)], record, work_ms) for number in range(6)]
        discovery = Discovery(record)
        for listener in (*servers, discovery):
            await listener.open()
        discovery.set(*[server.entry() for server in servers])
        known = json.loads(discovery.body(None))
        proxy = Proxy("n0", folder, discovery, settings, known, record, log_file, limits)
        try:
            await proxy.ready()
        except BaseException:
            proxy.kill()
            raise
        return cls(record, settings, servers, discovery, proxy)

    def classes(self, share: float) -> list[tuple[str, float]]:
        """Return each class with this share of its deadline as the time of a try."""
        return [(p["name"], p["deadlineMs"] * share) for p in self.settings["profiles"]]


async def send_steadily(
    clients: list[Clients], classes: list[tuple[str, float]], rate_per_s: float, end: float, record: Record,
) -> None:
    """Send requests of the classes in turn at a constant rate over all proxies, until `end`."""
    tasks, number, start = set(), 0, record.now()
    while record.now() < end:
        name, time_left_ms = classes[number % len(classes)]
        task = asyncio.create_task(clients[number % len(clients)].send(name, time_left_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(max(0.0, start + number / rate_per_s - record.now()))
    while tasks:
        await asyncio.sleep(0.05)


def run_case(
    folder: Path, case: Callable[[Path, Record], Awaitable[bool]], longest_s: float = 110.0,
) -> int:
    """Run a case in a temporary folder, and return the exit status of its script."""
    record = Record(folder)
    record.say(f"{'with' if TROUBLE else 'without'} the disruption")
    with tempfile.TemporaryDirectory() as directory:
        try:
            broken = asyncio.run(asyncio.wait_for(_run(Path(directory), record, case), longest_s))
        except BaseException as error:  # also when the script is ended from outside: nothing was judged
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            for log in sorted(Path(directory).glob("*.log")):
                record.file.write(f"--- log of {log.stem}\n{log.read_text()}")
            record.file.flush()
    record.say("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


async def _run(directory: Path, record: Record, case: Callable[[Path, Record], Awaitable[bool]]) -> bool:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await case(directory, record)
