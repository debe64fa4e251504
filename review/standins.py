"""Stand-ins for the cases of the review: discovery, servers, clients and the platform that starts proxies.

Everything here uses the standard library only. All addresses are on 127.0.0.1, with ports that the system
assigns. The stand-ins run in the process of the test; each proxy is a process of its own, which is started
with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
MAX_SOCKETS = 512
READY_TIMEOUT_S = 15.0
CASE_TIMEOUT_S = float(os.environ.get("CASE_TIMEOUT_S", "117"))
# A server closes a connection that has been idle for this time, which is `connIdleMs` in the settings.
IDLE_S = 5.0

# The settings of a small deployment with the figures of the page on the wire.
SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True, "connIdleMs": IDLE_S * 1000.0, "connectTimeoutMs": 100.0, "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 800000, "maxRetryAfterMs": 1000.0, "mostTries": 6, "multiplex": 1, "openCap": 20000,
        "peerMessages": False, "probes": True, "retryAfter": True, "secondCopies": False,
    },
    "clients": {"marksRetry": True},
    "contract": {
        "askEveryMs": 10000.0, "coldShare": 0.12, "graceToAnswerMs": 20.0, "overloadForMs": 2000.0,
        "stopSendingWithinMs": 250.0, "tipMultiple": 3.0, "warmAfterMs": 24000.0,
    },
    "countedBy": "work", "discovery": "ask", "domainType": "chain", "familyInfo": {"passesDeadline": False},
    "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4}, "me": 0,
    "models": ["kasa-duzy", "kasa-maly"], "nInstances": 1, "overShareWorth": 0.1, "parties": [],
    "prices": {"crossZone": 0.04, "lateFail": 0.15, "probe": 0.0077, "waste": 0.05},
    "profiles": [
        {"aimMs": 500.0, "deadlineMs": 2000.0, "group": "all", "idempotency": "by_key", "lateValue": 0.25,
         "name": "sprzedaz", "stream": False, "windowMs": 3000.0, "worth": 10.0},
        {"aimMs": 600.0, "deadlineMs": 1500.0, "group": "all", "idempotency": "once", "lateValue": 0.25,
         "name": "platnosc", "stream": False, "windowMs": 5000.0, "worth": 30.0},
    ],
    "quantumMs": 5.0, "report": {"fields": [], "how": "silent"}, "tier": 0,
    "tiers": ["kasa", "rozliczenia"], "weightSource": "nominal", "zone": "krakow-a",
    "zones": ["krakow-a", "krakow-b"],
}
KEYED, ONCE = "sprzedaz", "platnosc"
DEADLINE_MS = {KEYED: 2000.0, ONCE: 1500.0}
KEY_WINDOW_S = 3.0

Headers = dict[bytes, bytes]


class Record:
    """The record of a run: one line for each event, with the seconds since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def note(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(f"{self.now():8.3f}  {text}", flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[bytes, Headers]:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head[:-4].split(b"\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


class Server:
    """A TCP server that can reset its connections and close its listener, as when a process dies."""

    def __init__(self) -> None:
        self.port = 0
        self.reservations: list[socket.socket] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, reservation: socket.socket | None = None) -> None:
        """Listen on a free port, or on one that is reserved. The port stays reserved after that."""
        self.reservations.append(reservation or reserve_port())
        self.port = self.reservations[-1].getsockname()[1]
        self.server = await asyncio.start_server(self._connected, HOST, self.port, reuse_address=True)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, asyncio.CancelledError):
            pass  # the peer has gone, the connection has been idle for too long, or the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # the peer has closed it already
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Close the listener: new connections are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def die(self) -> None:
        """End as a process that dies: connections are reset, and new ones are refused."""
        self.stop_listening()
        self.reset_connections()


class Backend(Server):
    """A server that runs each request for `work_s` and answers 200 with a body that names the run.

    All servers drop a repeat of a key for 3 s and answer it as the first request.
    """

    answers_by_key: dict[bytes, tuple[float, bytes]] = {}  # noqa: RUF012  (shared by all servers on purpose)

    def __init__(self, record: Record, name: str, work_s: float = 0.05, zone: str = "krakow-a") -> None:
        super().__init__()
        self.record, self.name, self.work_s, self.zone = record, name, work_s, zone
        self.begun: list[tuple[float, str]] = []  # when each request began here, and its id
        self.run_ids: list[str] = []  # the ids of the requests that ran here
        self.received: dict[str, tuple[bytes, bytes]] = {}  # by id: method with path, and body

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        """Return the entry of this server in discovery's list."""
        return {
            "instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": self.zone,
            "machineType": "kasa-maly", "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests, one at a time, until the connection has been idle for too long."""
        keep_alive = True
        while keep_alive:
            first_line, headers = await asyncio.wait_for(read_head(reader), IDLE_S)
            request_body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
            if first_line.startswith((b"GET /health/live", b"GET /stats")):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            request_id = headers.get(b"x-correlation-id", b"").decode()
            self.begun.append((self.record.now(), request_id))
            self.received[request_id] = (first_line.rpartition(b" ")[0], request_body)
            if not self.accepts(request_id):
                writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                continue
            body = await self._run(request_id, headers.get(b"idempotency-key"))
            keep_alive = await self.answer(reader, writer, body, request_id)

    def accepts(self, request_id: str) -> bool:
        """Return whether a client sent the request in the form in which it was received."""
        return True

    async def _run(self, request_id: str, key: bytes | None) -> bytes:
        now = self.record.now()
        if key is not None:
            sent_s, body = Backend.answers_by_key.get(key, (float("-inf"), b""))
            if now - sent_s < KEY_WINDOW_S:
                self.record.add(f"run     {request_id} dropped at {self.name}: a repeat of its key")
                return body
        body = f"{request_id} ran at {self.name}".encode()
        if key is not None:
            Backend.answers_by_key[key] = (now, body)
        self.run_ids.append(request_id)
        self.record.add(f"run     {request_id} at {self.name}")
        await asyncio.sleep(self.work_s)
        return body

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes, request_id: str,
    ) -> bool:
        """Write the answer, and return whether the connection stays open."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        return True


class Discovery(Server):
    """Discovery: the whole list, and watches, which wait until there is a newer version."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        super().__init__()
        self.record, self.name = record, name
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}  # by server: the version of its last change
        self.changed = asyncio.Condition()
        self.call_times: list[float] = []

    async def set_entries(self, *entries: dict[str, Any]) -> None:
        """Add or change entries, as one new version of the list."""
        async with self.changed:
            self.generation += 1
            for entry in entries:
                self.entries[entry["instanceId"]] = entry
                self.changed_in[entry["instanceId"]] = self.generation
            self.changed.notify_all()

    def list_body(self, after: int | None) -> bytes:
        """Return the whole list, or the entries that are newer than the given version."""
        whole = after is None
        chosen = [
            entry for name, entry in self.entries.items()
            if (entry["lifecycle"] != "removed" if whole else self.changed_in[name] > (after or 0))]
        return json.dumps({"generation": self.generation, "reset": whole, "instances": chosen}).encode()

    def known(self) -> dict[str, Any]:
        """Return the list as a proxy last had it."""
        return json.loads(self.list_body(None))

    async def before_answer(self, call: int) -> bytes | None:
        """Wait before a call is handled; an answer that is returned here replaces the usual one."""
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls, one at a time."""
        while True:
            first_line, _ = await read_head(reader)
            self.call_times.append(self.record.now())
            call = len(self.call_times)
            target = first_line.split()[1].decode()
            self.record.add(f"asked   {self.name} call {call}: {target}")
            answer = await self.before_answer(call)
            if answer is None:
                answer = await self._list_answer(target)
            writer.write(answer)
            await writer.drain()
            self.record.add(f"told    {self.name} call {call}: {describe_list(answer)}")

    async def _list_answer(self, target: str) -> bytes:
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
        after = int(query["after"]) if "after" in query else None
        if after is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000.0), self.changed:
                    await self.changed.wait_for(lambda: self.generation > after)
        body = self.list_body(after)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def describe_list(answer: bytes) -> str:
    """Describe an answer of discovery for the record."""
    head, _, body = answer.partition(b"\r\n\r\n")
    status = head.split()[1].decode()
    if not body:
        return status
    listed = json.loads(body)
    entries = " ".join(f"{entry['instanceId']}={entry['lifecycle']}" for entry in listed["instances"])
    return f"{status} version {listed['generation']} {entries}"


class Proxy:
    """A proxy process, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, settings: dict[str, Any]) -> None:
        self.record, self.name, self.settings = record, name, settings
        self.folder = folder / name
        self.folder.mkdir()
        self.port = 0  # known once the process listens
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery_port: int, known: dict[str, Any]) -> None:
        """Write the configuration file."""
        text = json.dumps({
            "name": self.name, "listen": f"{HOST}:0", "discovery": f"{HOST}:{discovery_port}",
            "seed": os.urandom(8).hex(), "known": known, "settings": self.settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
        })
        temporary = self.folder / "config.new"
        temporary.write_text(text)
        temporary.replace(self.folder / "config.json")

    def start(self, discovery_port: int, known: dict[str, Any]) -> None:
        """Start the process."""
        self.write_config(discovery_port, known)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(scratch),
            "NODE_CONFIG": str(self.folder / "config.json"), "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:0", "NODE_DISCOVERY": f"{HOST}:{discovery_port}",
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=limit_descriptors)
        self.record.note(f"{self.name} started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.note(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def log_text(self) -> str:
        """Return what the process has written to its log."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def ready_status(self) -> int:
        """Ask for readiness on a connection of its own; 0 if there is no answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                first_line, _ = await read_head(reader)
                writer.close()
                return int(first_line.split()[1])
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def wait_ready(self) -> None:
        """Wait until the proxy says that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not (listens := re.search(rf"listens on {HOST}:(\d+)", self.log_text())):
                await asyncio.sleep(0.02)
            self.port = int(listens[1])
            while await self.ready_status() != 200:
                await asyncio.sleep(0.05)
        self.record.note(f"{self.name} is ready")

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


def limit_descriptors() -> None:
    """Set the limit on descriptors that the configuration states."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS))


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free port and does not listen.

    Until a server of this process listens on the port, connections to it are refused; no other process is
    given it as a free port. Otherwise proxies that call an address where nothing listens could reach a server
    of another test.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    return reservation


class Result:
    """One request of a client and what came back; `status` is 0 if there was no whole answer."""

    def __init__(self, request_id: str, class_name: str, sent_s: float) -> None:
        self.request_id, self.class_name, self.sent_s = request_id, class_name, sent_s
        self.status = 0
        self.body = b""
        self.ended_s = 0.0


class Clients:
    """Clients of one proxy. They keep connections and send one request at a time on each."""

    count = 0

    def __init__(self, record: Record, proxy: Proxy) -> None:
        self.record, self.proxy = record, proxy
        self.idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()
        self.results: list[Result] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def send(self, class_name: str) -> Result:
        """Send one request and wait for its answer."""
        Clients.count += 1
        result = Result(f"{Clients.count:08x}", class_name, self.record.now())
        self.results.append(result)
        self.record.add(f"sent    {result.request_id} {class_name} to {self.proxy.name}")
        time_left_s = DEADLINE_MS[class_name] / 1000.0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(time_left_s + 1.0):
                await self._exchange(result)
        result.ended_s = self.record.now()
        self.record.add(f"answer  {result.request_id} {result.status or 'none'} "
                        f"{result.body.decode(errors='replace')[:60]}")
        return result

    async def _exchange(self, result: Result) -> None:
        reused = bool(self.idle)
        reader, writer = self.idle.pop() if reused else await asyncio.open_connection(HOST, self.proxy.port)
        try:
            writer.write(request_bytes(result.request_id, result.class_name))
            first_line, headers = await read_head(reader)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            if not reused:
                raise
            # The proxy closed an idle connection: the request is sent once more on a new one.
            reader, writer = await asyncio.open_connection(HOST, self.proxy.port)
            writer.write(request_bytes(result.request_id, result.class_name))
            first_line, headers = await read_head(reader)
        body = await reader.readexactly(int(headers[b"content-length"]))
        result.status, result.body = int(first_line.split()[1]), body
        if headers.get(b"connection", b"").lower() == b"close":
            writer.close()
        else:
            self.idle.append((reader, writer))

    async def load(self, rate: float, seconds: float) -> None:
        """Send requests of both classes in turn, at an even rate."""
        end_s, number = self.record.now() + seconds, 0
        while self.record.now() < end_s:
            number += 1
            task = asyncio.create_task(self._send_one(ONCE if number % 2 else KEYED))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*self.tasks)

    async def _send_one(self, class_name: str) -> None:
        await self.send(class_name)


def request_bytes(request_id: str, class_name: str, body: bytes = b"x" * 100) -> bytes:
    """Return a request as a client writes it."""
    lines = [
        "POST /api HTTP/1.1", "Host: app.svc", f"X-Correlation-Id: {request_id}",
        f"X-Service-Class: {class_name}", f"X-Time-Left: {DEADLINE_MS[class_name]:.0f}m",
        f"Content-Length: {len(body)}"]
    if class_name == KEYED:
        lines.append(f"Idempotency-Key: key-{request_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CannotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Case:
    """What a case needs: a record, a folder for the proxies, and the processes to end."""

    def __init__(self, folder: Path) -> None:
        self.record, self.folder = Record(), folder
        self.proxies: list[Proxy] = []

    def add_proxy(self, name: str, **changes: Any) -> Proxy:
        """Add a proxy, which is ended with the case; `changes` replaces settings."""
        proxy = Proxy(self.record, self.folder, name, {**SETTINGS, **changes})
        self.proxies.append(proxy)
        return proxy


async def start_one_proxy(case: Case, backends: Sequence[Backend]) -> Proxy:
    """Start the servers, a discovery that lists them, and one proxy, which is ready on return."""
    for backend in backends:
        await backend.start()
    discovery = Discovery(case.record)
    await discovery.start()
    await discovery.set_entries(*[backend.entry() for backend in backends])
    proxy = case.add_proxy("n0")
    proxy.start(discovery.port, discovery.known())
    await proxy.wait_ready()
    return proxy


def run_case(case_file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(Path(folder))
        case.record.note("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        try:
            held = asyncio.run(asyncio.wait_for(play(case), CASE_TIMEOUT_S))
            status = 0 if held else 1
        except Exception as error:  # whatever fails in the case itself says nothing about the rule
            case.record.note(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for proxy in case.proxies:
                proxy.kill()
            for proxy in case.proxies:
                case.record.lines += [f"log of {proxy.name}: {line}" for line in
                                      proxy.log_text().splitlines()[-60:]]
            case.record.note(("the rule held", "the rule was broken", "no result")[status])
            Path(case_file).with_name("record.txt").write_text("\n".join(case.record.lines) + "\n")
    sys.exit(status)
