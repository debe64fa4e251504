"""Slow start: how much many proxies together send to cold backends, over real sockets, on a manual clock."""

from __future__ import annotations

import math
import random

import pytest

from honeywharf.net import frontend
from honeywharf.net.clock import Clock
from honeywharf.policy import list_freshness
from tests.proxy_harness import (
    Backend,
    Client,
    Discovery,
    ProxyHarness,
    make_config,
    run_test,
    wait_until,
)

PROXY_COUNT = 24
BACKEND_COUNT = 10
REQUESTS_PER_S = 24.0  # The total rate over all proxies.
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


def use_clock(harness: ProxyHarness, clock: Clock) -> None:
    proxy = harness.proxy
    proxy.clock = proxy.driver.clock = proxy.pool.clock = proxy.frontend.clock = clock
    proxy.discovery_client.clock = clock
    proxy.discovery_client.expiry.clock = clock


@pytest.mark.parametrize("restarted_proxies", [0, PROXY_COUNT * 7 // 10])
def test_all_proxies_together_stay_within_the_slow_start_share_of_cold_backends(
    restarted_proxies: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All backends restart and all proxies learn of it at once; some proxies have restarted too.

    As requests arrive at random, their number may exceed the expected number N by up to 2 sqrt(N) + 2.
    """
    # The clock advances fast, but the endpoint lists must not expire, and the connections of the clients must
    # stay open.
    monkeypatch.setattr(list_freshness, "MAX_AGE_MS", 1e9)
    for name in ("FIRST_BYTE_TIMEOUT_MS", "IDLE_TIMEOUT_MS", "REDUCED_IDLE_TIMEOUT_MS"):
        monkeypatch.setattr(frontend, name, 1e9)

    async def main() -> None:
        rng, clock = random.Random(3), ManualClock()
        backend = await Backend().start()

        def make_entries(started_ms: float) -> list[dict[str, object]]:
            return [
                backend.discovery_entry(f"b{i}", startedAtMs=int(started_ms)) for i in range(BACKEND_COUNT)
            ]

        harnesses: list[ProxyHarness] = []
        clients: list[Client] = []

        async def add_proxy() -> None:
            discovery = await Discovery().start()
            harnesses.append(ProxyHarness(make_config(
                discovery.port, make_entries(0.0), nInstances=PROXY_COUNT, tier=1, tiers=["t", "u"],
                contract={"coldShare": SLOW_START_SHARE, "warmAfterMs": WARM_UP_MS},
                report={"fields": [], "how": "silent"}), discovery))
            use_clock(harnesses[-1], clock)
            discovery.publish(1, *make_entries(0.0), reset=True)
            await harnesses[-1].start()
            await wait_until(lambda: harnesses[-1].proxy.discovery_client.initialized)
            clients.append(await Client.connect(harnesses[-1].port))

        async def run_traffic(duration_s: float, first_client: int) -> int:
            """Send requests from `PROXY_COUNT` clients, each with its own proxy, starting at `first_client`.

            Return how many requests reached a backend.
            """
            request_count, end_ms = len(backend.requests), clock.ms + duration_s * 1000.0
            while clock.ms < end_ms:
                clock.ms += rng.expovariate(REQUESTS_PER_S) * 1000.0
                client = clients[first_client + rng.randrange(PROXY_COUNT)]
                client.send(time_left="60000m")
                await client.read_status()
            return len(backend.requests) - request_count

        for _ in range(PROXY_COUNT):
            await add_proxy()
        await run_traffic(WARM_TRAFFIC_S, 0)
        for _ in range(restarted_proxies):
            await add_proxy()
        for harness in harnesses:
            harness.discovery.publish(2, *make_entries(clock.ms), reset=True)
        await wait_until(lambda: all(harness.proxy.directory.generation == 2 for harness in harnesses))
        request_count = await run_traffic(COLD_TRAFFIC_S, restarted_proxies)
        # The expected number assumes the capacity at start-up throughout, because each proxy delays its
        # first call to a backend according to that capacity.
        expected = REQUESTS_PER_S * COLD_TRAFFIC_S * SLOW_START_SHARE
        assert request_count <= expected + 2.0 * math.sqrt(expected) + 2.0
        # Proxies that have restarted send less, as they have not measured the response rate of warm backends.
        # They must still send some; the other proxies send more than a third of the expected number.
        assert request_count > 0 if restarted_proxies else request_count > expected / 3.0
        for harness in harnesses:
            assert harness.task is not None
            harness.task.cancel()
            harness.proxy.frontend.stop_listening()
            await harness.discovery.stop()
        await backend.stop()
    run_test(main())
