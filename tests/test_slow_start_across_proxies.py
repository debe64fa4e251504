"""Slow start: what many proxies together send to cold backends, over real sockets and on a manual clock."""

from __future__ import annotations

import math
import random

import pytest

from honeywharf.net import downstream
from honeywharf.net.clock import Clock
from honeywharf.policy import list_freshness
from tests.proxy_harness import (
    Backend,
    Client,
    Discovery,
    ProxyHarness,
    make_config,
    run_with_timeout,
    wait_until,
)

PROXIES = 24
BACKENDS = 10
REQUESTS_PER_S = 24.0  # Over all proxies.
WARM_TRAFFIC_S = 40.0
COLD_TRAFFIC_S = 10.0
SLOW_START_SHARE = 0.12
WARM_UP_MS = 24000.0


class ManualClock(Clock):
    """A clock that advances only when the test changes `ms`."""

    def now(self) -> float:
        return self.ms

    def __init__(self) -> None:
        self.ms = 1.8e12


def use_clock(world: ProxyHarness, clock: Clock) -> None:
    proxy = world.proxy
    proxy.clock = proxy.driver.clock = proxy.pool.clock = proxy.frontend.clock = proxy.watch.clock = clock
    proxy.watch.expiry.clock = clock


@pytest.mark.parametrize("restarted_proxies", [0, PROXIES * 7 // 10])
def test_all_proxies_together_send_cold_backends_their_fraction_of_the_warm_response_rate(
    restarted_proxies: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All backends of a zone restart and all proxies learn of it at once; some proxies have restarted too.

    Random arrival explains at most 2 sqrt(N) + 2 requests beyond the expected N.
    """
    monkeypatch.setattr(list_freshness, "MAX_AGE_MS", 1e9)
    # The clock advances fast, but the clients' connections must stay open.
    for name in ("FIRST_BYTE_TIMEOUT_MS", "IDLE_TIMEOUT_MS", "REDUCED_IDLE_TIMEOUT_MS"):
        monkeypatch.setattr(downstream, name, 1e9)

    async def main() -> None:
        rng, clock = random.Random(3), ManualClock()
        backend = await Backend().start()

        def rows(started_ms: float) -> list[dict[str, object]]:
            return [backend.discovery_entry(f"b{i}", startedAtMs=int(started_ms)) for i in range(BACKENDS)]

        worlds: list[ProxyHarness] = []
        clients: list[Client] = []

        async def add_proxy() -> None:
            discovery = await Discovery().start()
            worlds.append(ProxyHarness(make_config(
                discovery.port, rows(0.0), nInstances=PROXIES, tier=1, tiers=["t", "u"],
                contract={"coldShare": SLOW_START_SHARE, "warmAfterMs": WARM_UP_MS},
                report={"fields": [], "how": "silent"}), discovery))
            use_clock(worlds[-1], clock)
            discovery.publish(1, *rows(0.0), reset=True)
            await worlds[-1].start()
            await wait_until(lambda: worlds[-1].proxy.watch.initialized)
            clients.append(await Client.connect(worlds[-1].port))

        async def run_traffic(duration_s: float, first_client: int) -> int:
            """Send requests to `PROXIES` proxies, and return how many reached a backend."""
            request_count, end_ms = len(backend.requests), clock.ms + duration_s * 1000.0
            while clock.ms < end_ms:
                clock.ms += rng.expovariate(REQUESTS_PER_S) * 1000.0
                client = clients[first_client + rng.randrange(PROXIES)]
                client.send(time_left="60000m")
                await client.read_status()
            return len(backend.requests) - request_count

        for _ in range(PROXIES):
            await add_proxy()
        await run_traffic(WARM_TRAFFIC_S, 0)
        for _ in range(restarted_proxies):
            await add_proxy()
        for world in worlds:
            world.discovery.publish(2, *rows(clock.ms), reset=True)
        await wait_until(lambda: all(world.proxy.directory.generation == 2 for world in worlds))
        request_count = await run_traffic(COLD_TRAFFIC_S, restarted_proxies)
        # Each proxy schedules its first call to a backend by the capacity that the backend has at its start.
        expected = REQUESTS_PER_S * COLD_TRAFFIC_S * SLOW_START_SHARE
        assert request_count <= expected + 2.0 * math.sqrt(expected) + 2.0
        assert request_count > 0 if restarted_proxies else request_count > expected / 3.0
        for world in worlds:
            assert world.task is not None
            world.task.cancel()
            world.proxy.frontend.stop_listening()
            await world.discovery.stop()
        await backend.stop()
    run_with_timeout(main())
