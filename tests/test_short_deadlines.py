"""Calls with short deadlines must not cause ejections of servers; tested over loopback sockets."""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.proxy_harness import Backend, Client, make_response, run_test, synced_proxy

USUAL_LATENCY_S = 0.25  # This is far more than the short deadline.
SHORT_DEADLINE = "70m"  # 70 ms


@pytest.mark.parametrize("backends_return_500", [False, True], ids=["timeouts", "500 responses"])
def test_failures_with_short_deadlines_eject_no_server_and_change_no_limit(backends_return_500: bool) -> None:
    """If such failures led to ejections, each tier would eject healthy servers that had too little time.

    The calls time out, or the backends return 500, as they do when a call to an upstream tier has timed out.
    """
    async def main() -> None:
        backends = [await Backend().start() for _ in range(3)]
        async with synced_proxy(
            [b.discovery_entry(f"b{i}") for i, b in enumerate(backends)], bounds={"mostTries": 1}
        ) as harness:
            balancer = harness.proxy.driver.balancer
            client = await Client.connect(harness.port)
            for backend in backends:
                backend.response_delay_s = USUAL_LATENCY_S
            for _ in range(4):
                client.send()
                assert await client.read_status() == 200
            for backend in backends:
                backend.response_delay_s = 0.01 if backends_return_500 else USUAL_LATENCY_S
                backend.default_response = make_response(500)
            limits_before = {name: zone.limit for name, zone in balancer.host_set.zones.items()}
            for _ in range(12):
                client.send("read", b"", SHORT_DEADLINE)
                assert await client.read_status() != 200
            outcomes = [e.outcome for e in harness.ended_attempts()[4:]]
            assert len(outcomes) == 12
            assert set(outcomes) == {api.Outcome.ERROR if backends_return_500 else api.Outcome.TIMEOUT}
            servers = balancer.host_set.servers.values()
            assert [s.ejections for s in servers] == [0, 0, 0]
            assert not any(
                s.class_ejected_until_ms or s.consecutive_failures or s.anomaly_score for s in servers)
            assert {name: zone.limit for name, zone in balancer.host_set.zones.items()} == limits_before
        for backend in backends:
            await backend.stop()
    run_test(main())


def test_a_server_that_fails_calls_with_long_deadlines_is_ejected() -> None:
    async def main() -> None:
        backends = [await Backend().start() for _ in range(3)]
        backends[0].default_response = make_response(500)
        async with synced_proxy(
            [b.discovery_entry(f"b{i}") for i, b in enumerate(backends)], bounds={"mostTries": 1}
        ) as harness:
            client = await Client.connect(harness.port)
            for _ in range(60):
                client.send()
                await client.read_status()
            assert harness.proxy.driver.balancer.host_set.servers["b0"].ejections > 0
        for backend in backends:
            await backend.stop()
    run_test(main())
