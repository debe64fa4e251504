"""The wall clock was set back by an hour, then servers come back cold: are they sent more than they bear?"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers  # noqa: E402
import sites  # noqa: E402

PROXIES, SERVERS, COLD_SERVERS = 24, 12, 6
COLD_SHARE = 0.05  # the settings of `throng` tell a colder start than the site
WORK_MS = 60.0  # of each request, on a core of the yardstick speed
# The kinds of the site: two cores of about 0.97, or one of about 0.75 of the yardstick speed.
KINDS = [("kasa-duzy", 2, 0.97), ("kasa-maly", 1, 0.75)]
SLOTS_PER_CORE = 20
LOAD, BURST = 0.65, 2.0
RESTART_S, BURST_FROM_S, BURST_TO_S, END_S = 12.0, 12.5, 20.0, 21.0
STEP_BACK_MS = 3_600_000.0


class ColdServer(peers.Server):
    """A server that works on as many requests as it has cores, and may start cold."""

    def __init__(self, number: int, record: peers.Record, contract: dict[str, float]) -> None:
        kind, self.cores, self.speed = KINDS[number % 2]
        super().__init__(f"s-{number:02d}", sites.ZONES[number // 2 % 4], record, WORK_MS, kind)
        self.contract, self.cold_since, self.told_at = contract, math.inf, math.inf
        self.running = asyncio.Semaphore(self.cores)
        self.held = 0
        self.recent: deque[tuple[float, bool]] = deque()  # when requests came, and whether the start was told
        self.most, self.fell = 0.0, False

    def entry(self, lifecycle: str = "up", started_ms: float = 0) -> dict[str, Any]:
        """Return the entry of this server, with its size as its weight."""
        return {**super().entry(lifecycle, started_ms), "weight": float(self.cores)}

    def share(self) -> float:
        """Return the share of its capacity that the settings allow the server now."""
        cold, warm_s = self.contract["coldShare"], self.contract["warmAfterMs"] / 1000.0
        if self.cold_since == math.inf:
            return 1.0
        return min(1.0, cold + (1.0 - cold) * (self.record.now() - self.cold_since) / warm_s)

    async def restart(self) -> None:
        """Begin again as a new process, which is cold."""
        self.die()
        self.running, self.held, self.cold_since = asyncio.Semaphore(self.cores), 0, self.record.now()
        await self.open()

    def count(self) -> None:
        """Count a request against the budget of a cold server, which falls over and stays down beyond it."""
        now, window_s = self.record.now(), self.contract["overloadForMs"] / 1000.0
        self.recent.append((now, now >= self.told_at))
        while self.recent[0][0] <= now - window_s:
            self.recent.popleft()
        allowed = (
            self.contract["tipMultiple"] * self.share() * window_s
            * self.cores * self.speed * 1000.0 / WORK_MS)
        budget = allowed + (
            2.0 * math.sqrt(allowed) + 2.0 if allowed >= 30.0 else 3.0 * math.sqrt(allowed) + 3.0)
        told = sum(t for _, t in self.recent)
        self.most = max(self.most, len(self.recent) / budget)
        if len(self.recent) > budget and told > 2 * len(self.recent) / 3:
            self.fell = True
            self.record.say(
                f"{self.name} ({self.kind}) got {len(self.recent)} requests within {window_s:.0f} s, {told} "
                f"of them after its start was told; its budget is {budget:.1f}: it falls over and stays down")
            self.die()

    async def work(self, message: peers.Message) -> bytes | None:
        """Do the work of a request at the present speed, or turn it away if too many are held."""
        if self.cold_since < math.inf and not self.fell:
            self.count()
        if self.held >= SLOTS_PER_CORE * self.cores:
            return peers.response(503, b"", "X-Unprocessed: 1")
        self.held += 1
        running = self.running
        async with running:
            await asyncio.sleep(WORK_MS / 1000.0 / self.speed / self.share())
        if running is self.running:
            self.held -= 1
        return peers.response(200, message.id.encode())


async def send(clients: list[peers.Clients], rate_per_s: float, start: float, record: peers.Record) -> None:
    """Send requests through all proxies in turn, with a burst for some seconds."""
    tasks, number, due = set(), 0, record.now()
    classes = [("sprzedaz", 1000.0), ("platnosc", 750.0)]
    while record.now() < start + END_S:
        name, time_left_ms = classes[number // len(clients) % 2]
        task = asyncio.create_task(clients[number % len(clients)].send(name, time_left_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        burst = start + BURST_FROM_S <= record.now() < start + BURST_TO_S
        due += 1.0 / (rate_per_s * (BURST if burst else 1.0))
        await asyncio.sleep(max(0.0, due - record.now()))
    while tasks:
        await asyncio.sleep(0.05)


async def case(folder: Path, record: peers.Record) -> bool:
    """Return whether a cold server fell over by what proxies sent that had been told of its start."""
    settings = sites.targ_krakow(PROXIES)
    settings["contract"]["coldShare"] = COLD_SHARE
    servers = [ColdServer(number, record, settings["contract"]) for number in range(SERVERS)]
    discovery = peers.Discovery(record)
    for listener in (*servers, discovery):
        await listener.open()
    discovery.set(*[server.entry() for server in servers])
    known = json.loads(discovery.body(None))
    proxies = [
        peers.Proxy(
            f"n{me:02d}", folder, discovery, {**settings, "me": me, "zone": sites.ZONES[me % 4]}, known,
            record)
        for me in range(PROXIES)]
    try:
        for proxy in proxies:
            await proxy.ready()
        rate_per_s = LOAD * sum(s.cores * s.speed for s in servers) * 1000.0 / WORK_MS
        record.say(f"{PROXIES} proxies, {SERVERS} servers, {rate_per_s:.0f} requests a second")
        start = record.now()
        clients = [peers.Clients(proxy, settings, record) for proxy in proxies]
        sending = asyncio.create_task(send(clients, rate_per_s, start, record))
        await asyncio.sleep(RESTART_S)
        cold = servers[:COLD_SERVERS]
        for server in cold:
            await server.restart()
        started_ms = time.time() * 1000.0 - (STEP_BACK_MS if peers.TROUBLE else 0.0)
        discovery.set(*[server.entry(started_ms=started_ms) for server in cold])
        record.say(
            f"{len(cold)} servers have restarted and are cold; their machines' clock "
            + ("was set back by an hour before" if peers.TROUBLE else "is right"))
        version = discovery.generation
        while sum(v >= version for _, v in discovery.written) < PROXIES:
            await asyncio.sleep(0.005)
        for server in cold:
            server.told_at = record.now()
        record.say(f"all proxies were told {record.now() - cold[0].cold_since:.2f} s later")
        await sending
    finally:
        for proxy in proxies:
            proxy.kill()
    answered = sum(r.status == 200 for c in clients for r in c.requests if r.sent < start + RESTART_S)
    record.say(
        f"{sum(s.fell for s in cold)} of {len(cold)} cold servers fell over; the most that one got was "
        f"{max(s.most for s in cold):.2f} times its budget")
    if answered < 500:
        raise peers.CouldNotRunError("the proxies hardly served anything")
    return any(s.fell for s in cold)


sys.exit(peers.run_case(HERE, case))
