"""Plays one scenario and judges it by the rules."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from soak.clients import End, ProperClients, Request
from soak.discovery import DISCOVERY_HOST, Discovery
from soak.process import HOST, MEGABYTE, ROOT, ProxyProcess
from soak.scenario import SETTLE_S, START_S, Party, Scenario, Trouble
from soak.servers import ServerFleet

# Lives of a process between two of a series of SIGKILLs, and the pause before each restart.
SHORT_LIFE_S, RESTART_S, SHORT_LIVES = 0.4, 1.0, 2
# The front opens no new connection later than this after SIGTERM.
NEW_CONNECTIONS_AFTER_TERMINATE_S = 0.4
MAX_DEADLINE_S, KILL_AFTER_DEADLINE_S = 3.0, 0.7
RELOAD_INTERVAL_S = 0.15
PAUSE_S, PAUSE_INTERVAL_S = 0.12, 0.4
# A process that gets a third of a core is stopped and runs for this long in turn.
THROTTLED_SLICES_S = (0.02, 0.01)
MAX_LOG_LINES = 200
CHANGE_INTERVAL_S = 0.3
MAX_LATE_START_S = 0.1  # of an attempt, after its client has left
MIN_SERVED_SHARE = 0.5  # where only clients or the log are in trouble
MAX_LAG_S = 0.25  # a stand-in that runs later than this says nothing about the proxy


@dataclass
class Result:
    """What came out of a scenario: the rules that were broken, with examples, and the figures."""

    seed: int
    troubles: list[str]
    memory_mb: int
    descriptors: int
    broken: dict[str, list[str]] = field(default_factory=dict)
    peak_mb: float = 0.0
    requests: int = 0
    late: int = 0  # answers after the client's time
    slowest_s: float = 0.0  # the longest time to an answer
    ends: dict[str, int] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)
    lag_s: float = 0.0
    log_tail: list[str] = field(default_factory=list)

    @property
    def is_valid(self) -> bool:
        """Whether the stand-ins ran in time, so that the result says something about the proxy."""
        return self.lag_s <= MAX_LAG_S


class Play:
    """The processes and stand-ins of one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.servers = ServerFleet(scenario.server_count, scenario.seed)
        self.crowds: list[subprocess.Popen[bytes]] = []
        self.lag_s = 0.0
        self.terminated_s = float("inf")
        self.discovery: Discovery
        self.proxy: ProxyProcess
        self.clients: ProperClients

    def now_s(self) -> float:
        """Return the seconds since the proxy was first ready."""
        return self.loop.time() - self.started_at

    async def run(self) -> Result:
        """Play the scenario and return its result."""
        await self.servers.start()
        self.discovery = Discovery(self.servers.ports)
        if self.scenario.has("byte_chunked_list"):
            len(self.discovery.byte_chunks)  # builds them before anything is timed
        await self.discovery.start()
        self.proxy = ProxyProcess(
            self.scenario, self.folder, self.discovery.port, self.discovery.full_list())
        self.proxy.start()
        await self.proxy.wait_until_ready(0.0)
        self.started_at = self.loop.time()
        self.clients = ProperClients(self.scenario, HOST, self.proxy.port, self.now_s)
        background = [
            asyncio.create_task(self.proxy.watch(self.loop, self.started_at)),
            asyncio.create_task(self._watch_lag())]
        end_s = START_S + self.scenario.duration_s + SETTLE_S
        try:
            await asyncio.gather(
                self.clients.send_until(end_s), *(self._play_trouble(t) for t in self.scenario.troubles))
            self.proxy.measure(self.now_s())
        finally:
            for task in background:
                task.cancel()
            for crowd in self.crowds:
                crowd.kill()
                crowd.wait()
            self.proxy.end(self.now_s())
            self.clients.close()
            self.servers.close()
            self.discovery.close()
            await asyncio.sleep(0.01)  # lets the event loop close the connections
        return self._judge()

    async def _watch_lag(self) -> None:
        while True:
            due = self.loop.time() + 0.01
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, self.loop.time() - due)

    # Troubles.

    async def _play_trouble(self, trouble: Trouble) -> None:
        if trouble.kind.whole_run:
            return
        await asyncio.sleep(max(0.0, trouble.start_s - self.now_s()))
        if trouble.kind.party is Party.CLIENTS:
            await self._play_crowd(trouble)
        elif trouble.kind.party is Party.SERVERS:
            self.servers.trouble = trouble.kind.name
            await self._sleep_until(trouble.end_s)
            self.servers.trouble = None
        elif trouble.kind.party is Party.DISCOVERY:
            self.discovery.trouble = trouble.kind.name
            self.discovery.change()
            await self._repeat(self.discovery.change, CHANGE_INTERVAL_S, trouble.end_s)
            self.discovery.trouble = None
            self.discovery.change()
        else:
            await {
                "kill_series": self._kill_series, "reload_series": self._reload_series,
                "terminate": self._terminate, "pauses": self._pause, "throttled": self._throttle,
            }[trouble.kind.name](trouble)

    async def _play_crowd(self, trouble: Trouble) -> None:
        crowd = subprocess.Popen(
            [sys.executable, "-m", "soak.crowd", trouble.kind.name, HOST, str(self.proxy.port),
             str(self.scenario.seed), str(self.scenario.descriptors)], cwd=ROOT, stderr=subprocess.DEVNULL)
        self.crowds.append(crowd)
        await self._sleep_until(trouble.end_s)
        crowd.kill()

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self.now_s()))

    async def _repeat(self, action: Callable[[], None], interval_s: float, end_s: float) -> None:
        while self.now_s() < end_s:
            action()
            await asyncio.sleep(interval_s)

    async def _kill_series(self, _: Trouble) -> None:
        """Kill the process, kill it again soon after each restart, and at last let it live."""
        for life in range(SHORT_LIVES + 1):
            self.proxy.end(self.now_s())
            await asyncio.sleep(RESTART_S)
            self.proxy.start()
            if life < SHORT_LIVES:
                await asyncio.sleep(SHORT_LIFE_S)
        await self._become_ready()

    async def _become_ready(self) -> None:
        await self.proxy.wait_until_ready(self.now_s())
        self.proxy.restarted(self.now_s())

    async def _terminate(self, _: Trouble) -> None:
        self.terminated_s = self.now_s()
        self.proxy.send_signal(signal.SIGTERM)
        deadline_s = min(MAX_DEADLINE_S, self.scenario.deadline_ms / 1000.0)
        await asyncio.sleep(deadline_s + KILL_AFTER_DEADLINE_S)
        self.proxy.end(self.now_s())
        await asyncio.sleep(RESTART_S)
        self.proxy.start()
        await self._become_ready()

    async def _reload_series(self, trouble: Trouble) -> None:
        """Send SIGHUP in a series; the address of discovery changes each time."""
        second = Discovery(self.servers.ports)
        await second.start()
        ports = [second.port, self.discovery.port]

        def reload() -> None:
            ports.reverse()
            self.proxy.configuration["discovery"] = f"{DISCOVERY_HOST}:{ports[0]}"
            self.proxy.write_configuration()
            self.proxy.send_signal(signal.SIGHUP)

        await self._repeat(reload, RELOAD_INTERVAL_S, trouble.end_s)

    async def _pause(self, trouble: Trouble) -> None:
        """Hold the process up for a moment, again and again."""
        await self._stop_and_continue(trouble, PAUSE_S, PAUSE_INTERVAL_S)

    async def _throttle(self, trouble: Trouble) -> None:
        """Give the process a part of a core, in slices."""
        await self._stop_and_continue(trouble, *THROTTLED_SLICES_S)

    async def _stop_and_continue(self, trouble: Trouble, stopped_s: float, running_s: float) -> None:
        while self.now_s() < trouble.end_s:
            self.proxy.send_signal(signal.SIGSTOP)
            await asyncio.sleep(stopped_s)
            self.proxy.send_signal(signal.SIGCONT)
            await asyncio.sleep(running_s)

    # The rules.

    def _judge(self) -> Result:
        scenario, requests = self.scenario, self.clients.requests
        answered = [r for r in requests if r.end is End.ANSWERED]
        result = Result(
            scenario.seed, [t.kind.name for t in scenario.troubles], scenario.memory_mb, scenario.descriptors,
            peak_mb=round(self.proxy.peak_bytes / MEGABYTE, 1), requests=len(requests),
            ends=dict(Counter(r.end.value for r in requests)),
            statuses=dict(Counter(str(r.status) for r in answered)),
            late=sum(r.ended_s > r.sent_s + r.time_left_s for r in answered),
            slowest_s=round(max((r.ended_s - r.sent_s for r in answered), default=0.0), 3),
            lag_s=round(self.lag_s, 3))
        broken: dict[str, list[str]] = {
            "process": list(self.proxy.problems),
            "memory": [],
            "lost": [self._describe(r) for r in requests if self._is_lost(r)],
            "duplicate": [
                self._describe(r) for r in requests
                if r.class_name == "pledge" and self.servers.begun[r.request_id] > 1],
            "late attempt": self._late_attempts(requests),
            "starved": [],
        }
        if self.proxy.peak_bytes > scenario.memory_mb * MEGABYTE:
            broken["memory"].append(f"{result.peak_mb} MB of {scenario.memory_mb}")
        served = sum(r.status == 200 for r in requests)
        stayed = sum(r.end is not End.LEFT for r in requests)
        if all(t.kind.party in (Party.CLIENTS, Party.LOG) for t in scenario.troubles) and (
                served < MIN_SERVED_SHARE * stayed):
            broken["starved"].append(f"{served} of {stayed} served")
        result.broken = {rule: examples for rule, examples in broken.items() if examples}
        with contextlib.suppress(OSError):
            log = (self.folder / "proxy.log").read_text(errors="replace")
            result.log_tail = log.splitlines()[-MAX_LOG_LINES:]
        return result

    def _is_lost(self, request: Request) -> bool:
        """Return whether the proxy owed the request an answer and gave none in time."""
        if request.end in (End.ANSWERED, End.LEFT):
            return False
        # What a killed process had open is not held against it, and an absent one takes nothing. At a
        # planned restart, only requests that could not connect are excused.
        in_outage = any(
            start <= request.ended_s and request.sent_s <= end for start, end in self.proxy.outages)
        if in_outage and (not self.scenario.has("terminate") or request.end is End.UNREACHABLE):
            return False
        if request.end is End.SILENT:
            return True
        if request.sent_s > self.terminated_s + NEW_CONNECTIONS_AFTER_TERMINATE_S and request.end in (
                End.UNREACHABLE, End.SHUT):
            return False
        return not any(t.kind.fills_descriptors for t in self.scenario.troubles)

    def _late_attempts(self, requests: list[Request]) -> list[str]:
        left_at = {r.request_id: r.left_at for r in requests if r.end is End.LEFT}
        late_s = MAX_LATE_START_S + self.lag_s
        return [
            f"{e.request_id} begun {e.time_s - left_at[e.request_id]:.3f} s after its client left"
            for e in self.servers.executions
            if e.request_id in left_at and e.time_s > left_at[e.request_id] + late_s]

    def _describe(self, request: Request) -> str:
        return (
            f"{request.request_id} {request.class_name} sent {request.sent_s:.2f} s with "
            f"{request.time_left_s:.2f} s left: {request.end.value} at {request.ended_s:.2f} s, "
            f"begun {self.servers.begun[request.request_id]} times")


async def play(scenario: Scenario) -> Result:
    """Play a scenario in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Play(scenario, Path(folder)).run()
