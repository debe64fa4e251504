"""The host set: changes of the endpoint list, priority levels of usable servers, and slow start."""

from __future__ import annotations

import random

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_single_send,
    make_endpoint,
    make_settings,
)


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_draining_and_gone_servers_get_no_calls(state: api.EndpointState) -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.feed_list([make_endpoint("a0", state=state)], api.ListKind.CHANGES)
    assert set(harness.run_requests(500)) == {"a1", "a2", "a3"}


def test_a_server_missing_from_a_full_list_is_removed() -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.feed_list(TWO_ZONE_ENDPOINTS[1:])
    assert set(harness.run_requests(500)) == {"a1", "a2", "a3"}


def test_a_failed_poll_keeps_the_current_endpoint_list() -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.feed_list([], api.ListKind.FAILED)
    assert set(harness.run_requests(500)) == {"a0", "a1", "a2", "a3"}


def test_calls_to_a_cold_server_increase_during_warm_up() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a1"), make_endpoint("a2")])
    harness.run_requests(9000)  # The balancer learns the response rate of a warm server.
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms), make_endpoint("a1")])
    calls_while_cold = harness.run_requests(1000)
    harness.now_ms += 10000
    calls_when_warm = harness.run_requests(1000)
    # The server starts at 0.2 of its capacity and warms up for one of the ten seconds meanwhile.
    assert calls_while_cold["a0"] / calls_while_cold["a1"] < 0.35
    assert 0.8 < calls_when_warm["a0"] / calls_when_warm["a1"] < 1.25


def test_a_restarted_server_is_cold_again() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1")])
    harness.run_requests(9000)
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms)], api.ListKind.CHANGES)
    sent = harness.run_requests(500)
    assert 0.0 < sent["a0"] / sent["a1"] < 0.4


def test_a_cold_server_is_not_overloaded_when_it_is_the_only_server() -> None:
    """A cold server must not get all the traffic when the rest of the fleet is lost (incident i6df7a6)."""
    harness = BalancerHarness(
        make_settings(
        rules=api.Rules(slow_start_share=0.2, warm_up_ms=10000, poll_interval_ms=10000))
    )
    harness.feed_list([make_endpoint(f"a{i}") for i in range(10)])
    harness.run_requests(9000)
    harness.feed_list([make_endpoint("a10", started_ms=harness.now_ms)])
    sent = 0
    for _ in range(2000):  # This is two seconds of the traffic of ten warm servers.
        sent += isinstance(harness.start_request()[0], api.Send)
        harness.end_attempt(api.Outcome.OK, after_ms=1.0, request_finished=True)
    # One warm server served a tenth of the traffic, which is 200 calls. The cold server has at most 0.4 of
    # that capacity in this time, and three times as many calls would overload it.
    assert 0 < sent < 3 * 0.4 * 200


def test_all_ready_servers_stay_usable_when_all_are_ejected() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("b0", "b")])
    for _ in range(2):
        harness.start_request()
        harness.end_attempt(api.Outcome.RESET, request_finished=True)
    sends = [a for _ in range(20) for a in harness.start_request() if isinstance(a, api.Send)]
    assert sends


@pytest.mark.parametrize(("balancers", "calls_per_s"), [(25, 1.0), (200, 0.3)])
def test_chance_does_not_raise_the_peak_rate_where_many_balancers_see_few_responses(
    balancers: int, calls_per_s: float,
) -> None:
    """All balancers together send a cold server a fraction of this rate, so a rate too high overloads it."""
    rng, peak_rates = random.Random(5), []
    for seed in range(10):
        harness = BalancerHarness(make_settings(balancer_count=balancers), seed)
        harness.feed_list([make_endpoint(f"a{i}") for i in range(10)])
        for _ in range(round(300 * calls_per_s)):
            harness.now_ms += rng.expovariate(calls_per_s) * 1000.0 - 50.0
            harness.start_request()
            harness.end_attempt(api.Outcome.OK)
        peak_rates.append(harness.balancer.host_set.response_rate.peak)
    assert 0.6 < sum(peak_rates) / len(peak_rates) / (calls_per_s / 1000.0 / 10) < 1.5


def test_a_cold_server_is_not_overloaded_when_it_is_alone_in_its_zone() -> None:
    """The first cold server of a lost zone must not get all calls of the zone (incident i0f1c09)."""
    harness = BalancerHarness()
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [a.endpoint for _ in range(100) for a in harness.start_request() if isinstance(a, api.Send)]
    assert len(sent) > 20
    assert sent.count("a0") <= 2


def test_ejected_servers_get_no_calls_when_the_usable_servers_are_full() -> None:
    """Calls must not go to dead servers, even when the live ones are at their limit (incident i0f1c09)."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1"), make_endpoint("b0", "b")])
    servers = harness.balancer.host_set.servers
    while not (servers["a0"].ejections and servers["a1"].ejections):
        server = expect_single_send(harness.start_request()).endpoint
        is_alive = server == "b0"
        harness.end_attempt(api.Outcome.OK if is_alive else api.Outcome.CONNECT_FAILED, request_finished=True)
    sent = [a.endpoint for _ in range(50) for a in harness.start_request() if isinstance(a, api.Send)]
    assert set(sent) == {"b0"}
    assert len(sent) < 50


def test_a_cold_server_alone_in_its_zone_is_not_overloaded_below_the_first_tier() -> None:
    """Below the first tier, no limit rejects calls: the surplus goes to another zone, and none is refused."""
    harness = BalancerHarness(make_settings(tier=1, tier_count=2, balancer_count=30))
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [expect_single_send(harness.start_request()).endpoint for _ in range(200)]
    assert sent.count("a0") <= 20
