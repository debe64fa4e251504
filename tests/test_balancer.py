"""Tests of the choice of a server, retries, refusals, hedged requests and the polling of the endpoint list.

A refusal is the balancer's own final response to a client. A rejection is a server's response that it has
not executed the request. A poll is one request to discovery; a watch is the chain of polls that keeps the
endpoint list current.
"""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_only_refusal,
    expect_single_send,
    make_endpoint,
    make_settings,
)


def test_calls_are_spread_evenly_over_the_local_zone() -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    sent = harness.run_requests(4000)
    assert set(sent) == {"a0", "a1", "a2", "a3"}
    assert all(900 < n < 1100 for n in sent.values())


def test_calls_go_evenly_to_other_zones_if_all_servers_of_the_local_zone_are_draining() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0", state=api.EndpointState.DRAINING), *TWO_ZONE_ENDPOINTS[4:]])
    sent = harness.run_requests(2000)
    assert set(sent) == {"b0", "b1", "b2", "b3"}
    assert all(400 < n < 600 for n in sent.values())


def test_retrying_a_rejection_costs_less_than_a_retry_token() -> None:
    """A rejection causes little load at the server, and giving up wastes the work of the downstream tiers.

    The bucket holds 5 tokens, and each request adds 0.1. Without the lower cost, 15 retries would empty it.
    """
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=3)))
    harness.feed_list([make_endpoint(f"a{i}") for i in range(30)])
    for _ in range(15):
        expect_single_send(harness.start_request())
        expect_single_send(harness.end_attempt(api.Outcome.REJECTED, after_ms=1.0))
        harness.end_attempt(api.Outcome.OK, 1, after_ms=1.0)
    # The retry after an error costs a whole token.
    harness.balancer.retry_tokens = 0.5
    harness.start_request()
    assert not any(isinstance(a, api.Send) for a in harness.end_attempt(api.Outcome.ERROR, after_ms=1.0))


def test_calls_between_tiers_are_not_refused_for_lack_of_capacity() -> None:
    """Only the balancers of the first tier, tier 0, refuse requests for lack of capacity."""
    harness = BalancerHarness(make_settings(tier=1, tier_count=2))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    assert all(isinstance(a, api.Send) for _ in range(200) for a in harness.start_request())


def test_nothing_is_sent_while_the_endpoint_list_is_expired() -> None:
    """Once the list has expired, it may lack changes whose propagation deadline has passed.

    The balancer must obey these changes without knowing them: any listed server may be draining or gone. A
    server that is draining may still respond, so a response does not show that the server may get calls.
    """
    harness = BalancerHarness(make_settings(polled_discovery=True))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.run_requests(20)
    harness.start_request()
    harness.feed(api.ListExpiryChanged(harness.now_ms))
    # A request that is already in flight is not retried either.
    assert isinstance(harness.end_attempt(api.Outcome.REJECTED)[-1], api.Refuse)
    for _ in range(20):
        harness.now_ms += 1000.0
        expect_only_refusal(harness.start_request())
    harness.feed_list([], api.ListKind.FAILED)
    expect_only_refusal(harness.start_request())
    # Discovery reports no changes, so the list is current again.
    harness.feed_list([], api.ListKind.CHANGES)
    assert len(harness.run_requests(50)) > 1


def test_the_backoff_after_a_failed_poll_grows_with_the_number_of_balancers() -> None:
    for balancer_count, max_backoff_ms in ((4, 500.0), (30, 1500.0), (1000, 10000.0)):
        harness = BalancerHarness(make_settings(polled_discovery=True, balancer_count=balancer_count))
        timers = [a for _ in range(200) for a in harness.feed_list([], api.ListKind.FAILED)]
        backoffs_ms = [a.at_ms - harness.now_ms for a in timers if isinstance(a, api.SetTimer)]
        assert 0.9 * max_backoff_ms < max(backoffs_ms) <= max_backoff_ms


def test_polls_after_a_failure_are_jittered() -> None:
    settings = make_settings(polled_discovery=True)
    times = set()
    for seed in range(20):
        harness = BalancerHarness(settings, seed)
        (timer,) = harness.feed_list([], api.ListKind.FAILED)
        assert isinstance(timer, api.SetTimer)
        assert harness.now_ms <= timer.at_ms <= harness.now_ms + settings.rules.poll_interval_ms
        times.add(timer.at_ms)
        assert harness.feed(api.TimerFired(timer.token)) == [api.WatchEndpoints()]
    assert len(times) == 20


def test_invalid_settings_are_rejected() -> None:
    with pytest.raises(ValueError, match="no request class"):
        make_settings(classes=())
    with pytest.raises(ValueError, match="tier"):
        make_settings(tier=3)
    with pytest.raises(ValueError, match="slow start share"):
        make_settings(rules=api.Rules(slow_start_share=0.0))


def test_a_refusal_has_a_retry_delay_within_the_configured_maximum() -> None:
    for limits, max_delay_ms in (
        (api.Limits(retry_after=True, max_retry_after_ms=2000.0), 600.0),
        (api.Limits(retry_after=True, max_retry_after_ms=100.0), 100.0), (api.Limits(), 0.0),
    ):
        harness = BalancerHarness(make_settings(limits=limits))
        (refusal,) = harness.start_request()
        assert isinstance(refusal, api.Refuse)
        assert min(max_delay_ms, 200.0) <= refusal.retry_after_ms <= max_delay_ms


def test_a_rejected_hedged_attempt_is_retried_and_does_not_end_the_request() -> None:
    """If the rejected attempt were not retried, only the hung attempt could still complete the request."""
    limits = api.Limits(max_attempts=4, concurrent_attempts=True)
    harness = BalancerHarness(make_settings(limits=limits))
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1")])
    for _ in range(40):
        harness.start_request()
        harness.end_attempt(api.Outcome.OK, after_ms=20.0)
    server = expect_single_send(harness.start_request(remaining_ms=2000.0)).endpoint
    hung_id = f"r{harness.request_count}"
    harness.now_ms += 200.0
    hedges: list[api.Send] = []
    while not hedges:
        harness.start_request()
        hedges = [a for a in harness.end_attempt(api.Outcome.OK, after_ms=20.0) if isinstance(a, api.Send)]
    assert (hedges[0].request, hedges[0].endpoint != server) == (hung_id, True)
    assert expect_single_send(harness.end_attempt(api.Outcome.REJECTED, 1, hung_id, 1.0)).request == hung_id
    harness.balancer.retry_tokens = 0.0
    # The hung attempt may still succeed.
    assert harness.end_attempt(api.Outcome.REJECTED, 2, hung_id, 1.0) == []
    assert isinstance(harness.end_attempt(api.Outcome.TIMEOUT, 0, hung_id, 500.0)[0], (api.Fail, api.Refuse))
