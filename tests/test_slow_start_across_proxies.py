"""What many proxies together send to cold backends, over real sockets, on a clock that the test sets."""

from __future__ import annotations

import math
import random

import pytest

from honeywharf.net import downstream
from honeywharf.net.clock import Clock
from honeywharf.policy import list_freshness
from tests.loopback import Backend, Client, Discovery, World, make_config, run, until

PROXIES, BACKENDS, PER_S = 24, 10, 24.0  # calls a second, over all proxies
WARM_S, COLD_S = 40.0, 10.0
COLD_SHARE, WARM_AFTER_MS = 0.12, 24000.0


class SetClock(Clock):
    """Goes on only when the test says so."""

    def now(self) -> float:
        return self.ms

    def __init__(self) -> None:
        self.ms = 1.8e12


def on_clock(w: World, clock: Clock) -> None:
    proxy = w.proxy
    proxy.clock = proxy.driver.clock = proxy.pool.clock = proxy.frontend.clock = proxy.watch.clock = clock
    proxy.watch.expiry.clock = clock


@pytest.mark.parametrize("restarted", [0, PROXIES * 7 // 10])
def test_cold_backends_get_their_part_of_what_warm_ones_answered_from_all_proxies_together(
    restarted: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All backends of a zone start anew and every list comes at once; some proxies have just started too.

    Beyond that part only 2 sqrt(N) + 2 calls are chance.
    """
    monkeypatch.setattr(list_freshness, "MAX_AGE_MS", 1e9)
    for name in ("SILENT_MS", "IDLE_MS", "CROWDED_IDLE_MS"):  # callers stay, however fast the clock goes
        monkeypatch.setattr(downstream, name, 1e9)

    async def main() -> None:
        rng, clock = random.Random(3), SetClock()
        backend = await Backend().start()

        def rows(started_ms: float) -> list[dict[str, object]]:
            return [backend.row(f"b{i}", startedAtMs=int(started_ms)) for i in range(BACKENDS)]

        worlds: list[World] = []
        clients: list[Client] = []

        async def join() -> None:
            discovery = await Discovery().start()
            worlds.append(World(make_config(
                discovery.port, rows(0.0), nInstances=PROXIES, tier=1, tiers=["t", "u"],
                contract={"coldShare": COLD_SHARE, "warmAfterMs": WARM_AFTER_MS},
                report={"fields": [], "how": "silent"}), discovery))
            on_clock(worlds[-1], clock)
            discovery.tell(1, *rows(0.0), reset=True)
            await worlds[-1].start()
            await until(lambda: worlds[-1].proxy.watch.first_poll_done)
            clients.append(await Client.to(worlds[-1].port))

        async def play(seconds: float, first: int) -> int:
            sent, end = len(backend.requests), clock.ms + seconds * 1000.0
            while clock.ms < end:
                clock.ms += rng.expovariate(PER_S) * 1000.0
                client = clients[first + rng.randrange(PROXIES)]
                client.send(left="60000m")
                await client.status()
            return len(backend.requests) - sent

        for _ in range(PROXIES):
            await join()
        await play(WARM_S, 0)
        for _ in range(restarted):
            await join()
        for w in worlds:
            w.discovery.tell(2, *rows(clock.ms), reset=True)
        await until(lambda: all(w.proxy.directory.generation == 2 for w in worlds))
        sent = await play(COLD_S, restarted)
        part = PER_S * COLD_S * COLD_SHARE  # the first call to each waits for what it can do at its start
        assert sent <= part + 2.0 * math.sqrt(part) + 2.0
        assert sent > 0 if restarted else sent > part / 3.0
        for w in worlds:
            assert w.running is not None
            w.running.cancel()
            w.proxy.frontend.stop_listening()
            await w.discovery.stop()
        await backend.stop()
    run(main())
