"""The host set: changes of the endpoint list, which servers get calls, and slow start."""

from __future__ import annotations

import random

import pytest

from honeywharf import interface as api
from honeywharf.policy.host_set import MAX_EMPTY_ZONES
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
    # The 1000 calls take one second of the warm-up of ten seconds. During them, the capacity of the server
    # rises from 0.2 to 0.28.
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
    """A cold server must not get all the traffic when all other servers have been removed."""
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
    # In these two seconds, a warm server would get a tenth of the traffic, which is 200 calls. The capacity
    # of the cold server rises from 0.2 to 0.36 of a warm one's, so it is at most 0.4. Three times the calls
    # that fit this capacity would overload it.
    assert 0 < sent < 3 * 0.4 * 200


def test_requests_are_still_sent_after_two_resets_at_the_only_server_of_the_local_zone() -> None:
    """Outlier detection must not stop the traffic, even if the only server of the local zone fails."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("b0", "b")])
    for _ in range(2):
        harness.start_request()
        harness.end_attempt(api.Outcome.RESET, request_finished=True)
    sends = [a for _ in range(20) for a in harness.start_request() if isinstance(a, api.Send)]
    assert sends


def test_all_ready_servers_are_usable_when_all_are_ejected() -> None:
    """Outlier detection must not stop the traffic, even if the servers of all zones refuse connections."""
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=1)))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.run_requests(200)
    host_set = harness.balancer.host_set
    servers = host_set.servers.values()
    for _ in range(100):
        if not all(server.ejected_until_ms > harness.now_ms for server in servers):
            harness.run_requests(1, api.Outcome.CONNECT_FAILED)
    assert all(server.ejected_until_ms > harness.now_ms for server in servers)
    assert len(host_set.usable) == len(TWO_ZONE_ENDPOINTS)
    assert set(harness.run_requests(300)) == {"a0", "a1", "a2", "a3"}


@pytest.mark.parametrize(("balancers", "calls_per_s"), [(25, 1.0), (200, 0.3)])
def test_the_peak_response_rate_is_close_to_the_true_rate_where_responses_are_few(
    balancers: int, calls_per_s: float,
) -> None:
    """Each of many balancers sees few responses, and their random arrival must not raise the measured peak.

    All balancers together send a cold server a fraction of the peak rate of a warm one, so too high an
    estimate would overload the cold server.
    """
    rng, peak_rates = random.Random(5), []
    for seed in range(10):
        harness = BalancerHarness(make_settings(balancer_count=balancers), seed)
        harness.feed_list([make_endpoint(f"a{i}") for i in range(10)])
        for _ in range(round(300 * calls_per_s)):
            # `end_attempt` advances the clock by the other 50 ms.
            harness.now_ms += rng.expovariate(calls_per_s) * 1000.0 - 50.0
            harness.start_request()
            harness.end_attempt(api.Outcome.OK)
        peak_rates.append(harness.balancer.host_set.response_rate.peak)
    # The true rate of one of the ten servers, in responses per millisecond, is a tenth of the call rate.
    assert 0.6 < sum(peak_rates) / len(peak_rates) / (calls_per_s / 1000.0 / 10) < 1.5


def test_a_cold_server_is_not_overloaded_when_it_is_alone_in_its_zone() -> None:
    """When a zone has lost all its servers, the first to start again must not get all calls of the zone."""
    harness = BalancerHarness()
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [a.endpoint for _ in range(100) for a in harness.start_request() if isinstance(a, api.Send)]
    assert len(sent) > 20
    assert sent.count("a0") <= 2


def test_ejected_servers_get_no_calls_when_the_usable_servers_are_at_their_limit() -> None:
    """Calls must not go to failed servers, even when the healthy ones are at their concurrency limit."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1"), make_endpoint("b0", "b")])
    servers = harness.balancer.host_set.servers
    while not (servers["a0"].ejections and servers["a1"].ejections):
        server = expect_single_send(harness.start_request()).endpoint
        is_healthy = server == "b0"
        harness.end_attempt(
            api.Outcome.OK if is_healthy else api.Outcome.CONNECT_FAILED, request_finished=True
        )
    sent = [a.endpoint for _ in range(50) for a in harness.start_request() if isinstance(a, api.Send)]
    assert set(sent) == {"b0"}
    assert len(sent) < 50


def test_a_cold_server_alone_in_its_zone_is_not_overloaded_by_the_second_tier() -> None:
    """Only the first tier refuses requests because of a concurrency limit.

    The second tier sends the calls that exceed the capacity of the zone to another zone.
    """
    harness = BalancerHarness(make_settings(tier=1, tier_count=2, balancer_count=30))
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.feed_list([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [expect_single_send(harness.start_request()).endpoint for _ in range(200)]
    assert sent.count("a0") <= 20


def test_zones_that_lists_no_longer_name_are_forgotten_once_there_are_many() -> None:
    """Guards against memory that grows with a discovery that names ever new zones."""
    harness = BalancerHarness()
    host_set = harness.balancer.host_set
    for number in range(1000):
        harness.feed_list([*TWO_ZONE_ENDPOINTS, make_endpoint("n", zone=f"zone-{number}")])
        assert len(host_set.zones) <= MAX_EMPTY_ZONES + 1
    assert {endpoint.zone for endpoint in TWO_ZONE_ENDPOINTS} < host_set.zones.keys()
    assert "zone-999" in host_set.zones
