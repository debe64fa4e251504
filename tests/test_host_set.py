"""The host set: what a list changes, the levels of usable servers, and warm-up."""

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
def test_nothing_goes_to_a_server_after_word_that_it_leaves(state: api.EndpointState) -> None:
    harness = BalancerHarness()
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    harness.update_endpoints([make_endpoint("a0", state=state)], api.ListKind.CHANGES)
    assert set(harness.run_requests(500)) == {"a1", "a2", "a3"}


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    harness.update_endpoints(TWO_ZONE_ENDPOINTS[1:])
    assert set(harness.run_requests(500)) == {"a1", "a2", "a3"}


def test_a_failed_list_call_keeps_the_old_list() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    harness.update_endpoints([], api.ListKind.FAILED)
    assert set(harness.run_requests(500)) == {"a0", "a1", "a2", "a3"}


def test_a_cold_server_gets_calls_in_step_with_its_warming() -> None:
    harness = BalancerHarness()
    harness.update_endpoints([make_endpoint("a1"), make_endpoint("a2")])
    harness.run_requests(9000)  # what a warm server can answer is known by now
    harness.update_endpoints([make_endpoint("a0", started_ms=harness.now_ms), make_endpoint("a1")])
    cold = harness.run_requests(1000)
    harness.now_ms += 10000
    warm = harness.run_requests(1000)
    assert cold["a0"] / cold["a1"] < 0.35  # cold share 0.2, a second of ten warmed meanwhile
    assert 0.8 < warm["a0"] / warm["a1"] < 1.25


def test_a_restarted_server_is_cold_again() -> None:
    harness = BalancerHarness()
    harness.update_endpoints([make_endpoint("a0"), make_endpoint("a1")])
    harness.run_requests(9000)
    harness.update_endpoints([make_endpoint("a0", started_ms=harness.now_ms)], api.ListKind.CHANGES)
    sent = harness.run_requests(500)
    assert 0.0 < sent["a0"] / sent["a1"] < 0.4


def test_cold_servers_alone_are_not_pushed_over() -> None:
    """Guards against cold servers that get what a lost fleet left behind (incident i6df7a6)."""
    harness = BalancerHarness(
        make_settings(
        rules=api.Rules(slow_start_share=0.2, warm_up_ms=10000, poll_interval_ms=10000))
    )
    harness.update_endpoints([make_endpoint(f"a{i}") for i in range(10)])
    harness.run_requests(9000)
    harness.update_endpoints([make_endpoint("a10", started_ms=harness.now_ms)])
    sent = 0
    for _ in range(2000):  # two seconds of all the traffic of ten warm servers
        sent += isinstance(harness.start_request()[0], api.Send)
        harness.end_attempt(api.Outcome.OK, after_ms=1.0, request_finished=True)
    # A tenth of the traffic is what one warm server answered; three times its cold part would push it over.
    assert 0 < sent < 3 * 0.4 * 200


def test_any_zone_keeps_every_ready_server_when_all_are_ejected() -> None:
    harness = BalancerHarness()
    harness.update_endpoints([make_endpoint("a0"), make_endpoint("b0", "b")])
    for _ in range(2):
        harness.start_request()
        harness.end_attempt(api.Outcome.RESET, request_finished=True)
    sends = [a for _ in range(20) for a in harness.start_request() if isinstance(a, api.Send)]
    assert sends


@pytest.mark.parametrize(("balancers", "per_s"), [(25, 1.0), (200, 0.3)])
def test_where_many_balancers_see_few_answers_chance_does_not_raise_the_rate(
    balancers: int, per_s: float,
) -> None:
    """Cold servers get their part of this rate, summed over all balancers: a little too much is too much."""
    rng, rates = random.Random(5), []
    for seed in range(10):
        harness = BalancerHarness(make_settings(balancer_count=balancers), seed)
        harness.update_endpoints([make_endpoint(f"a{i}") for i in range(10)])
        for _ in range(round(300 * per_s)):
            harness.now_ms += rng.expovariate(per_s) * 1000.0 - 50.0
            harness.start_request()
            harness.end_attempt(api.Outcome.OK)
        rates.append(harness.balancer.host_set.answer_rate.peak)
    assert 0.6 < sum(rates) / len(rates) / (per_s / 1000.0 / 10) < 1.5


def test_the_first_cold_server_of_a_lost_zone_is_not_flooded() -> None:
    """Guards against pushing over a cold server that is alone in its zone (incident i0f1c09)."""
    harness = BalancerHarness()
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.update_endpoints([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [a.endpoint for _ in range(100) for a in harness.start_request() if isinstance(a, api.Send)]
    assert len(sent) > 20
    assert sent.count("a0") <= 2


def test_ejected_servers_get_nothing_while_others_are_merely_crowded() -> None:
    """Guards against calls to dead servers whenever the live ones have no room (incident i0f1c09)."""
    harness = BalancerHarness()
    harness.update_endpoints([make_endpoint("a0"), make_endpoint("a1"), make_endpoint("b0", "b")])
    servers = harness.balancer.host_set.servers
    while not (servers["a0"].ejections and servers["a1"].ejections):
        server = expect_single_send(harness.start_request()).endpoint
        lives = server == "b0"
        harness.end_attempt(api.Outcome.OK if lives else api.Outcome.CONNECT_FAILED, request_finished=True)
    sent = [a.endpoint for _ in range(50) for a in harness.start_request() if isinstance(a, api.Send)]
    assert set(sent) == {"b0"}
    assert len(sent) < 50


def test_a_lone_cold_server_is_not_flooded_from_a_deeper_tier() -> None:
    """Guards against the same where no limit gates the calls; the surplus crosses, and none is refused."""
    harness = BalancerHarness(make_settings(tier=1, tier_count=2, balancer_count=30))
    others = [make_endpoint(f"b{i}", "b") for i in range(20)]
    harness.update_endpoints([make_endpoint("a0", started_ms=harness.now_ms), *others])
    sent = [expect_single_send(harness.start_request()).endpoint for _ in range(200)]
    assert sent.count("a0") <= 20
