"""The proxy under test, as a process: its start, its signals, its log, and what it holds."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from soak.discovery import DISCOVERY_HOST
from soak.scenario import Scenario
from soak.shim import build_library

ROOT = Path(__file__).resolve().parent.parent
# The address is this process's own, and the port is below those that the system assigns, so no other process
# can have taken it when the proxy is started again.
_PID = os.getpid()
HOST, FIRST_PORT = f"127.{1 + (_PID >> 16) % 250}.{_PID >> 8 & 255}.{_PID & 255}", 20_000
READY_TIMEOUT_S = 10.0
MEGABYTE = 1_000_000
FAULTS = {
    "accept_errors": "accept:ENFILE:0.1,accept:EMFILE:0.05,accept:ECONNABORTED:0.05,accept:ENOBUFS:0.05",
    "socket_errors":
        "socket:ENFILE:0.05,socket:ENOBUFS:0.05,connect:EADDRNOTAVAIL:0.05,connect:ENETUNREACH:0.05",
    "short_io": "read:SHORT:0.3,write:SHORT:0.3",
    "interrupted": "wait:EINTR:0.1,read:EINTR:0.05,write:EINTR:0.05,accept:EINTR:0.05",
}


class ProxyProcess:
    """A proxy that may be ended and started again. Its memory is watched all the time."""

    def __init__(self, scenario: Scenario, folder: Path, discovery_port: int, known: dict[str, Any]) -> None:
        self.scenario, self.folder = scenario, folder
        self.port = FIRST_PORT + scenario.seed % 10_000
        self.configuration: dict[str, Any] = {
            "name": "n1", "listen": f"{HOST}:{self.port}", "discovery": f"{DISCOVERY_HOST}:{discovery_port}",
            "seed": f"{scenario.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.descriptors},
            "known": known, "settings": scenario.settings()}
        self.process: subprocess.Popen[bytes] | None = None
        self.peak_bytes = 0
        self.problems: list[str] = []
        self.outages: list[tuple[float, float]] = []  # from the end of the process until it was ready again
        self._ended_s: float | None = None
        self._log_reader: int | None = None

    # The process.

    def write_configuration(self) -> Path:
        """Write the configuration file."""
        file = self.folder / "config.json"
        file.write_text(json.dumps(self.configuration))
        return file

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "NODE_CONFIG": str(self.write_configuration())}
        faults = [FAULTS[t.kind.name] for t in self.scenario.troubles if t.kind.name in FAULTS]
        if faults or self.scenario.has("clock_step"):
            step_s = (-3600, 3600, -2, 2)[self.scenario.seed % 4]
            environment |= {
                "LD_PRELOAD": str(build_library()), "SOAK_FAULTS": ",".join(faults),
                "SOAK_SEED": str(self.scenario.seed)}
            if self.scenario.has("clock_step"):
                environment["SOAK_CLOCK"] = f"3:{step_s}"
        limit = self.scenario.descriptors
        log = self._open_log()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "honeywharf"], cwd=ROOT, env=environment, stderr=log,
            stdin=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
        os.close(log)

    def _open_log(self) -> int:
        if self.scenario.has("full_log"):
            return os.open("/dev/full", os.O_WRONLY)
        if self.scenario.has("stalled_log") or self.scenario.has("closed_log"):
            reader, writer = os.pipe()
            if self.scenario.has("closed_log"):
                os.close(reader)
                return writer
            self._log_reader = reader
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(writer, b"\0" * 4096)
            os.set_blocking(writer, True)
            return writer
        return os.open(self.folder / "proxy.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    async def wait_until_ready(self, now_s: float) -> float:
        """Wait until the proxy reports that it is ready, and return the seconds that took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() < started_s + READY_TIMEOUT_S and self.is_running():
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    try:
                        writer.write(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
                        if b" 200 " in await reader.readline():
                            return loop.time() - started_s
                    finally:
                        writer.transport.abort()
            await asyncio.sleep(0.02)
        self.problems.append(f"not ready {READY_TIMEOUT_S:.0f} s after the start at {now_s:.1f} s")
        return loop.time() - started_s

    def is_running(self) -> bool:
        """Return whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def end(self, now_s: float) -> None:
        """End the process as the platform does, if it is still there."""
        self.measure(now_s)
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
            self._ended_s = now_s if self._ended_s is None else self._ended_s

    def restarted(self, now_s: float) -> None:
        """Record that the process is ready again."""
        if self._ended_s is not None:
            self.outages.append((self._ended_s, now_s))
        self._ended_s = None

    async def watch(self, clock: asyncio.AbstractEventLoop, started_s: float) -> None:
        """Measure the process again and again."""
        while True:
            self.measure(clock.time() - started_s)
            await asyncio.sleep(0.02)

    def measure(self, now_s: float) -> None:
        """Read the peak memory, and note if the process has ended by itself."""
        if self.process is None:
            return
        status = self.process.poll()
        if status is not None:
            if status != 0 or not self.scenario.has("terminate"):
                self.problems.append(f"ended by itself with status {status} at {now_s:.1f} s")
            self.process, self._ended_s = None, now_s
            return
        with contextlib.suppress(OSError, IndexError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            peak = next(line for line in lines if line.startswith("VmHWM:"))
            self.peak_bytes = max(self.peak_bytes, int(peak.split()[1]) * 1024)
