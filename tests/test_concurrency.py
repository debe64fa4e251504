"""The concurrency limits of zones: which calls they admit, refuse or move to another zone, how they adapt."""

from __future__ import annotations

import heapq
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


def test_the_wait_for_a_connection_does_not_count_as_latency() -> None:
    """The time to connect must not lower limits or a server's traffic, nor distort the expected latency."""
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS[:4])
    limit_before = harness.balancer.host_set.zones["a"].limit
    for _ in range(200):
        harness.start_request()
        harness.end_attempt(api.Outcome.OK, after_ms=1000.0, time_to_send_ms=900.0)
    assert harness.balancer.host_set.zones["a"].limit >= limit_before
    assert harness.balancer.outliers.latency.expected_ms["read"] == pytest.approx(100.0)
    assert {s.relative_latency for s in harness.balancer.host_set.servers.values()} == {1.0}


def run_steady_load(harness: BalancerHarness, latency_ms: float, duration_ms: int) -> None:
    """Make one request per millisecond; each call gets its response after `latency_ms`."""
    in_flight: list[tuple[float, str]] = []
    for _ in range(duration_ms):
        harness.now_ms += 1
        while in_flight and in_flight[0][0] <= harness.now_ms:
            _, request = in_flight.pop(0)
            harness.feed(api.AttemptEnded(request, 0, api.Outcome.OK, latency_ms, True))
        if any(isinstance(a, api.Send) for a in harness.start_request()):
            in_flight.append((harness.now_ms + latency_ms, f"r{harness.request_count}"))
    harness.now_ms += latency_ms
    for _, request in in_flight:
        harness.feed(api.AttemptEnded(request, 0, api.Outcome.OK, latency_ms, True))


def test_calls_beyond_the_limit_of_the_local_zone_spill_over_to_another() -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    calls_by_zone: dict[str, int] = {}
    for _ in range(40):
        for action in harness.start_request():
            assert isinstance(action, api.Send)
            calls_by_zone[action.endpoint[0]] = calls_by_zone.get(action.endpoint[0], 0) + 1
        if calls_by_zone.get("b"):
            break
    assert calls_by_zone["a"] >= 4
    assert calls_by_zone["b"] == 1


def make_unanswered_requests(harness: BalancerHarness, requests: int) -> dict[str, int]:
    """Make requests that get no response, and return the number of calls in flight at each server."""
    in_flight: dict[str, int] = {}
    for _ in range(requests):
        for action in harness.start_request():
            if isinstance(action, api.Send):
                in_flight[action.endpoint] = in_flight.get(action.endpoint, 0) + 1
    return in_flight


def test_servers_get_calls_in_proportion_to_their_weights() -> None:
    """With an even split, the small servers of a zone would be overloaded and the large ones underused."""
    harness = BalancerHarness()
    harness.feed_list(
        [make_endpoint("a0", weight=4.0), make_endpoint("a1", weight=1.0), make_endpoint("a2", weight=1.0)]
    )
    for zone in harness.balancer.host_set.zones.values():
        zone.limit = 8.0
    in_flight = make_unanswered_requests(harness, 24)
    assert in_flight["a0"] > 2 * in_flight["a1"]
    assert in_flight["a0"] > 2 * in_flight["a2"]


HIGH_WORTH = api.RequestClass("high_worth", 1000, 2000, worth=12.0)
LOW_WORTH = api.RequestClass("low_worth", 1000, 2000, worth=1.0)


def test_idle_servers_take_calls_where_many_balancers_share_them() -> None:
    """Requests of the class of least worth must not be refused while all servers are idle.

    The zone's limit admits several calls, but the share of it that each of the many servers gets is less than
    one call.
    """
    harness = BalancerHarness(make_settings(classes=(HIGH_WORTH, LOW_WORTH), balancer_count=12))
    harness.feed_list([make_endpoint(f"a{i}") for i in range(30)])
    zone = harness.balancer.host_set.zones["a"]
    for _ in range(100):
        harness.now_ms += 100
        # The limit is in calls per unit of capacity.
        assert zone.limit * zone.capacity > 9
        assert isinstance(harness.start_request("low_worth")[0], api.Send)
        harness.end_attempt(api.Outcome.OK, after_ms=50)


def test_calls_of_the_second_tier_stay_in_the_local_zone_where_there_are_many_balancers() -> None:
    harness = BalancerHarness(
        make_settings(classes=(HIGH_WORTH, LOW_WORTH), tier=1, tier_count=2, balancer_count=100)
    )
    harness.feed_list([make_endpoint(f"{zone}{i}", zone) for zone in "ab" for i in range(30)])
    for _ in range(100):
        assert expect_single_send(harness.start_request("low_worth")).endpoint.startswith("a")
        harness.end_attempt(api.Outcome.OK, after_ms=50)


def test_the_initial_limit_admits_two_calls_per_server_and_tier() -> None:
    """With a lower limit, calls that wait for an upstream tier would use it up while the servers are idle.

    Further calls would then spill over to another zone.
    """
    harness = BalancerHarness(make_settings(tier_count=2, zone_count=2, balancer_count=2))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    # The local zone admits up to 16 calls: two for each of four servers and two tiers. Of these, 14 are made.
    in_flight = make_unanswered_requests(harness, 14)
    assert sum(n for name, n in in_flight.items() if name.startswith("a")) == 14


def test_calls_of_the_second_tier_spill_over_when_the_local_zone_is_at_its_limit() -> None:
    """A zone with too few servers for its callers must not be overloaded while the other zones are idle."""
    harness = BalancerHarness(make_settings(tier=1, tier_count=2))
    harness.feed_list([make_endpoint("a0"), *TWO_ZONE_ENDPOINTS[4:]])
    in_flight = make_unanswered_requests(harness, 16)
    assert in_flight["a0"] <= 6
    assert sum(in_flight.values()) == 16


def test_late_responses_lower_the_limits_and_fast_ones_raise_them_again() -> None:
    """The first tier must limit the calls to servers that respond late, before they become congested."""
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    # A response is late if it takes longer than the target latency, which is half the aim of 1000 ms.
    run_steady_load(harness, 900.0, 4000)
    limits_after_late_responses = sum(z.limit for z in harness.balancer.host_set.zones.values())
    run_steady_load(harness, 50.0, 8000)
    limits_after_fast_responses = sum(z.limit for z in harness.balancer.host_set.zones.values())
    assert limits_after_fast_responses > 3 * limits_after_late_responses


def test_latencies_that_vary_within_the_aim_cause_few_refusals() -> None:
    """Ordinary latencies would count as late if they were compared with the lowest one instead of the aim."""
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    rng = random.Random(5)
    in_flight: list[tuple[float, float, str]] = []
    refused = 0
    for _ in range(6000):
        harness.now_ms += 12.0
        while in_flight and in_flight[0][0] <= harness.now_ms:
            _, latency_ms, request = heapq.heappop(in_flight)
            harness.feed(api.AttemptEnded(request, 0, api.Outcome.OK, latency_ms, True))
        if isinstance(harness.start_request()[0], api.Send):
            latency_ms = 300.0 * rng.lognormvariate(-0.18, 0.6)  # The aim is 1000 ms.
            heapq.heappush(in_flight, (harness.now_ms + latency_ms, latency_ms, f"r{harness.request_count}"))
        else:
            refused += 1
    assert refused < 150


def test_light_traffic_is_not_refused_where_the_limit_is_less_than_one_call() -> None:
    """A limit of less than one call must not refuse every call while another one is in flight."""
    harness = BalancerHarness(make_settings(balancer_count=300))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    assert isinstance(harness.start_request()[0], api.Send)
    assert harness.balancer.host_set.zones["a"].limit * harness.balancer.host_set.zones["a"].capacity < 0.1
    accepted = 0
    for _ in range(100):
        harness.now_ms += 100
        sent = [a for a in harness.start_request() if isinstance(a, api.Send)]
        accepted += len(sent)
        if sent:
            harness.end_attempt(api.Outcome.OK, after_ms=50)
    assert accepted > 90


def test_a_small_limit_under_overload_prefers_requests_of_high_worth() -> None:
    """Requests of low worth must not take the only call that the limit admits."""
    worth_10_class = api.RequestClass("high_worth", 1000, 2000, worth=10.0)
    worth_1_class = api.RequestClass("low_worth", 1000, 2000, worth=1.0)
    harness = BalancerHarness(make_settings(classes=(worth_10_class, worth_1_class), balancer_count=1000))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    accepted = {"high_worth": 0, "low_worth": 0}
    # Of these requests, 100 are of high worth and 300 of low worth.
    for i in range(400):
        harness.now_ms += 1
        name = "low_worth" if i % 4 else "high_worth"
        if any(isinstance(a, api.Send) for a in harness.start_request(name)):
            accepted[name] += 1
            # Every response is late, so the limit stays low.
            harness.end_attempt(api.Outcome.OK, after_ms=3000)
    assert accepted["high_worth"] > 80
    assert accepted["low_worth"] < 0.45 * 300


def test_a_limit_grows_only_while_it_is_in_use_and_more_slowly_than_it_falls() -> None:
    """A limit that is too high shows in the latency only one round trip later.

    By then, the calls that it has admitted congest the servers, so a limit must grow slowly.
    """
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS[:4])
    zone = harness.balancer.host_set.zones["a"]
    initial_limit = zone.limit
    for _ in range(200):  # One call at a time uses little of the limit.
        harness.start_request()
        harness.end_attempt(api.Outcome.OK, after_ms=50.0)
    assert zone.limit == initial_limit
    zone.limit = zone.initial_limit * 2.0
    # The whole limit is in use, and for one second responses take half of the target latency.
    zone.in_flight = 100
    for _ in range(20):
        harness.now_ms += 50.0
        zone.adapt_limit(0.5, harness.now_ms)
    assert zone.initial_limit * 2.0 < zone.limit < zone.initial_limit * 3.0
    for _ in range(20):  # In the next second, responses take twice the target latency.
        harness.now_ms += 50.0
        zone.adapt_limit(2.0, harness.now_ms)
    assert zone.limit < zone.initial_limit


@pytest.mark.parametrize("outcome", [
    api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_TIMEOUT, api.Outcome.NOT_SENT])
def test_attempts_that_reached_no_server_do_not_raise_the_limit(outcome: api.Outcome) -> None:
    """Such attempts say nothing about the capacity of the servers.

    The test also checks that failed connections eject a server, and that attempts that were not sent for
    another reason do not.
    """
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=1)))
    harness.feed_list(TWO_ZONE_ENDPOINTS[:4])
    zone = harness.balancer.host_set.zones["a"]
    zone.latency_ratio, limit_before = 0.0, zone.limit
    for _ in range(3):
        harness.start_request()
        zone.in_flight += 50  # The limit is in use.
        harness.end_attempt(outcome, after_ms=1.0)
        zone.in_flight -= 50
    assert zone.limit == limit_before
    assert all(s.ejections == 0 for s in harness.balancer.host_set.servers.values()) == (
        outcome is api.Outcome.NOT_SENT)


@pytest.mark.parametrize("outcome", [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_only_failures_after_the_target_latency_change_the_latency_ratio(outcome: api.Outcome) -> None:
    """If early failures counted as fast responses, the limit would rise just when calls begin to fail."""
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=1)))
    harness.feed_list(TWO_ZONE_ENDPOINTS[:4])
    zone = harness.balancer.host_set.zones["a"]
    zone.latency_ratio = ratio_before = 0.9
    harness.start_request()
    harness.end_attempt(outcome, after_ms=1.0)
    assert zone.latency_ratio == ratio_before
    harness.start_request()
    harness.end_attempt(outcome, after_ms=1900.0)
    assert zone.latency_ratio > ratio_before
