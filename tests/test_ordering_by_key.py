"""Tests that requests that share an ordering key run one at a time, in the order of their arrival.

After an attempt that may still be running, its key has a cooldown, in which the next request is not sent.
"""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    Actions,
    BalancerHarness,
    expect_only_refusal,
    make_endpoint,
    make_settings,
)

Outcome = api.Outcome
ORDERED_ONCE = api.RequestClass("borrow", 1000, 2000, idempotency=api.Idempotency.ONCE, ordered_by_key=True)
# Servers deduplicate requests of this class by their idempotency key. In the tests below, `key` is the
# ordering key.
ORDERED_KEYED = api.RequestClass(
    "renew", 1000, 2000, idempotency=api.Idempotency.KEYED, dedupe_window_ms=1500, ordered_by_key=True)
READ = api.RequestClass("read", 1000, 2000)
COOLDOWN_MS = 150.0


@pytest.fixture
def harness() -> BalancerHarness:
    settings = make_settings(
        classes=(ORDERED_ONCE, ORDERED_KEYED, READ),
        rules=api.Rules(poll_interval_ms=10000, key_cooldown_ms=COOLDOWN_MS))
    new_harness = BalancerHarness(settings)
    new_harness.feed_list([make_endpoint(f"a{i}") for i in range(6)])
    return new_harness


def fire_timer(harness: BalancerHarness, token: str, after_ms: float) -> Actions:
    harness.now_ms += after_ms
    return harness.feed(api.TimerFired(token))


def sent_requests(actions: Actions) -> list[str]:
    return [a.request for a in actions if isinstance(a, api.Send)]


def test_requests_of_a_key_run_one_at_a_time_in_order_across_all_ordered_classes(
    harness: BalancerHarness,
) -> None:
    assert sent_requests(harness.start_request("borrow", key="k")) == ["r1"]
    assert sent_requests(harness.start_request("renew", key="k")) == []
    assert sent_requests(harness.start_request("borrow", key="k")) == []
    assert sent_requests(harness.end_attempt(Outcome.OK, request="r1")) == ["r2"]
    assert sent_requests(harness.end_attempt(Outcome.OK, request="r2")) == ["r3"]


def test_only_requests_of_the_same_key_and_of_ordered_classes_wait(
    harness: BalancerHarness,
) -> None:
    harness.start_request("borrow", key="k")
    assert sent_requests(harness.start_request("borrow", key="j")) == ["r2"]
    assert sent_requests(harness.start_request("borrow")) == ["r3"]
    assert sent_requests(harness.start_request("borrow")) == ["r4"]
    assert sent_requests(harness.start_request("read", key="k")) == ["r5"]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_key_has_a_cooldown_after_an_attempt_that_may_still_be_running(
    harness: BalancerHarness, outcome: api.Outcome,
) -> None:
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    actions = harness.end_attempt(outcome, request="r1")
    assert api.Fail("r1") in actions
    assert sent_requests(actions) == []
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.at_ms == harness.now_ms + COOLDOWN_MS
    assert sent_requests(fire_timer(harness, timer.token, COOLDOWN_MS)) == ["r2"]


def test_the_retry_of_the_first_request_does_not_wait_for_the_cooldown(harness: BalancerHarness) -> None:
    harness.start_request("renew", key="k")
    harness.start_request("renew", key="k")
    assert sent_requests(harness.end_attempt(Outcome.TIMEOUT, request="r1", after_ms=100)) == ["r1"]


def test_the_next_request_is_sent_at_once_if_the_first_was_not_executed(harness: BalancerHarness) -> None:
    harness.feed_list([make_endpoint("a0")])
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    actions: Actions = []
    for attempt in range(3):
        actions = harness.end_attempt(Outcome.CONNECT_FAILED, attempt, request="r1")
    assert any(isinstance(a, api.Refuse) and a.request == "r1" for a in actions)
    assert sent_requests(actions) == ["r2"]


def test_a_queued_request_is_refused_at_its_deadline(harness: BalancerHarness) -> None:
    harness.start_request("borrow", key="k", remaining_ms=2000)
    actions = harness.start_request("borrow", key="k", remaining_ms=300)
    (timer,) = actions
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ms <= harness.now_ms + 300
    assert expect_only_refusal(fire_timer(harness, timer.token, 300)).request == "r2"
    assert sent_requests(harness.end_attempt(Outcome.OK, request="r1")) == []
    assert not harness.balancer.key_queues


def test_a_queued_request_whose_client_disconnected_is_removed(harness: BalancerHarness) -> None:
    for _ in range(3):
        harness.start_request("borrow", key="k")
    harness.feed(api.RequestAbandoned("r2"))
    assert sent_requests(harness.end_attempt(Outcome.OK, request="r1")) == ["r3"]


def test_an_attempt_in_flight_blocks_its_key_after_its_client_disconnected(harness: BalancerHarness) -> None:
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    assert sent_requests(harness.feed(api.RequestAbandoned("r1"))) == []
    assert sent_requests(harness.end_attempt(Outcome.OK, request="r1", request_finished=True)) == ["r2"]


def test_idle_keys_leave_no_state(harness: BalancerHarness) -> None:
    for i in range(50):
        harness.start_request("borrow", key=f"k{i}")
        harness.end_attempt(Outcome.TIMEOUT if i % 2 else Outcome.OK)
    # The token of the timer that ends cooldowns is "turn".
    fire_timer(harness, "turn", COOLDOWN_MS)
    assert not harness.balancer.key_queues
    assert not harness.balancer.key_cooldowns


def test_all_requests_of_a_long_queue_are_refused_if_no_server_is_left(harness: BalancerHarness) -> None:
    """The queue must be emptied in a loop, because a recursion per request would exceed the stack's depth."""
    for _ in range(3000):
        harness.start_request("borrow", key="k")
    harness.feed_list([])
    actions = harness.end_attempt(Outcome.OK, request="r1")
    assert sum(isinstance(a, api.Refuse) for a in actions) == 2999
