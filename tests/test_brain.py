"""The ordinary path: choice, retries, refusals, and when the list is asked for."""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_single_refusal,
    expect_single_send,
    make_endpoint,
    make_settings,
)


def test_own_zone_gets_all_calls_evenly() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    sent = harness.run_requests(4000)
    assert set(sent) == {"a0", "a1", "a2", "a3"}
    assert all(900 < n < 1100 for n in sent.values())


def test_an_empty_own_zone_spills_to_any_evenly() -> None:
    harness = BalancerHarness()
    harness.update_endpoints([make_endpoint("a0", state=api.EndpointState.DRAINING), *TWO_ZONE_ENDPOINTS[4:]])
    sent = harness.run_requests(2000)
    assert set(sent) == {"b0", "b1", "b2", "b3"}
    assert all(400 < n < 600 for n in sent.values())


def test_a_rejection_costs_little_of_the_retry_budget() -> None:
    """Turned away unseen is little load, and giving up wastes what the tiers above have done."""
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=3)))
    harness.update_endpoints([make_endpoint(f"a{i}") for i in range(30)])
    for _ in range(15):
        expect_single_send(harness.start_request())
        expect_single_send(harness.end_attempt(api.Outcome.REJECTED, after_ms=1.0))
        harness.end_attempt(api.Outcome.OK, 1, after_ms=1.0)
    harness.balancer.retry_tokens = 0.5  # an error costs a whole one
    harness.start_request()
    assert not any(isinstance(a, api.Send) for a in harness.end_attempt(api.Outcome.ERROR, after_ms=1.0))


def test_deeper_tiers_never_shed() -> None:
    harness = BalancerHarness(make_settings(tier=1, tiers=2))
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    assert all(isinstance(a, api.Send) for _ in range(200) for a in harness.start_request())


def test_while_its_list_is_overdue_a_balancer_sends_nothing() -> None:
    """Each server listed may be draining or gone, and that counts as told: one that answers may drain too."""
    harness = BalancerHarness(make_settings(polled_discovery=True))
    harness.update_endpoints(TWO_ZONE_ENDPOINTS)
    harness.run_requests(20)
    harness.start_request()
    harness.feed(api.ListUsableUntil(harness.now_ms))
    assert isinstance(harness.end_attempt(api.Outcome.REJECTED)[-1], api.Refuse)  # no further attempt either
    for _ in range(20):
        harness.now_ms += 1000.0
        expect_single_refusal(harness.start_request())
    harness.update_endpoints([], api.ListKind.FAILED)
    expect_single_refusal(harness.start_request())
    harness.update_endpoints([], api.ListKind.CHANGES)  # word of no change
    assert len(harness.run_requests(50)) > 1


def test_where_few_balancers_ask_discovery_their_pauses_are_short() -> None:
    for balancers, most in ((4, 500.0), (30, 1500.0), (1000, 10000.0)):
        harness = BalancerHarness(make_settings(polled_discovery=True, balancers=balancers))
        timers = [a for _ in range(200) for a in harness.update_endpoints([], api.ListKind.FAILED)]
        waits = [a.at_ms - harness.now_ms for a in timers if isinstance(a, api.SetTimer)]
        assert 0.9 * most < max(waits) <= most


def test_balancers_do_not_ask_discovery_in_step() -> None:
    settings = make_settings(polled_discovery=True)
    times = set()
    for seed in range(20):
        harness = BalancerHarness(settings, seed)
        (timer,) = harness.update_endpoints([], api.ListKind.FAILED)
        assert isinstance(timer, api.SetTimer)
        assert harness.now_ms <= timer.at_ms <= harness.now_ms + settings.rules.ask_every_ms
        times.add(timer.at_ms)
        assert harness.feed(api.TimerFired(timer.token)) == [api.WatchEndpoints()]
    assert len(times) == 20


def test_contradictory_settings_are_told() -> None:
    with pytest.raises(ValueError, match="no request class"):
        make_settings(classes=())
    with pytest.raises(ValueError, match="tier"):
        make_settings(tier=3)
    with pytest.raises(ValueError, match="cold share"):
        make_settings(rules=api.Rules(cold_share=0.0))


def test_a_refusal_tells_when_to_come_back_as_far_as_the_site_allows() -> None:
    for limits, most in (
        (api.Limits(retry_after=True, max_retry_after_ms=2000.0), 600.0),
        (api.Limits(retry_after=True, max_retry_after_ms=100.0), 100.0), (api.Limits(), 0.0),
    ):
        harness = BalancerHarness(make_settings(limits=limits))
        (refusal,) = harness.start_request()
        assert isinstance(refusal, api.Refuse)
        assert min(most, 200.0) <= refusal.retry_after_ms <= most


def test_a_copy_of_a_hung_call_that_is_turned_away_is_sent_again_and_ends_no_request() -> None:
    """Guards against requests that wait on a hung call alone because their one copy met a full server."""
    limits = api.Limits(max_attempts=4, concurrent_attempts=True)
    harness = BalancerHarness(make_settings(limits=limits))
    harness.update_endpoints([make_endpoint("a0"), make_endpoint("a1")])
    for _ in range(40):
        harness.start_request()
        harness.end_attempt(api.Outcome.OK, after_ms=20.0)
    server = expect_single_send(harness.start_request(remaining_ms=2000.0)).endpoint
    hung = f"r{harness.request_count}"
    harness.now_ms += 200.0
    copies: list[api.Send] = []
    while not copies:
        harness.start_request()
        copies = [a for a in harness.end_attempt(api.Outcome.OK, after_ms=20.0) if isinstance(a, api.Send)]
    assert (copies[0].request, copies[0].endpoint != server) == (hung, True)
    assert expect_single_send(harness.end_attempt(api.Outcome.REJECTED, 1, hung, 1.0)).request == hung
    harness.balancer.retry_tokens = 0.0
    assert harness.end_attempt(api.Outcome.REJECTED, 2, hung, 1.0) == []  # the first may yet come
    assert isinstance(harness.end_attempt(api.Outcome.TIMEOUT, 0, hung, 500.0)[0], (api.Fail, api.Refuse))
