"""Order by key: one at a time, as they came, with a rest after what may still run."""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    Actions,
    BalancerHarness,
    expect_single_refusal,
    make_endpoint,
    make_settings,
)

Outcome = api.Outcome
BORROW = api.RequestClass("borrow", 1000, 2000, effect=api.Effect.ONCE, in_order=True)
RENEW = api.RequestClass(
    "renew", 1000, 2000, effect=api.Effect.KEYED, window_ms=1500, in_order=True)
READ = api.RequestClass("read", 1000, 2000)
GAP = 150.0


@pytest.fixture
def harness() -> BalancerHarness:
    settings = make_settings(
        classes=(BORROW, RENEW, READ), rules=api.Rules(ask_every_ms=10000, turn_gap_ms=GAP))
    made = BalancerHarness(settings)
    made.update_endpoints([make_endpoint(f"a{i}") for i in range(6)])
    return made


def woken(harness: BalancerHarness, token: str, after_ms: float) -> Actions:
    harness.now_ms += after_ms
    return harness.feed(api.TimerFired(token))


def sends(actions: Actions) -> list[str]:
    return [a.request for a in actions if isinstance(a, api.Send)]


def test_one_key_runs_singly_in_the_order_taken_over_all_ordered_classes(harness: BalancerHarness) -> None:
    assert sends(harness.start_request("borrow", key="k")) == ["r1"]
    assert sends(harness.start_request("renew", key="k")) == []
    assert sends(harness.start_request("borrow", key="k")) == []
    assert sends(harness.end_attempt(Outcome.OK, request="r1")) == ["r2"]
    assert sends(harness.end_attempt(Outcome.OK, request="r2")) == ["r3"]


def test_other_keys_and_no_key_and_other_classes_are_free(harness: BalancerHarness) -> None:
    harness.start_request("borrow", key="k")
    assert sends(harness.start_request("borrow", key="j")) == ["r2"]
    assert sends(harness.start_request("borrow")) == ["r3"]
    assert sends(harness.start_request("borrow")) == ["r4"]
    assert sends(harness.start_request("read", key="k")) == ["r5"]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_the_key_rests_after_what_may_still_run(harness: BalancerHarness, outcome: api.Outcome) -> None:
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    actions = harness.end_attempt(outcome, request="r1")
    assert api.Fail("r1") in actions
    assert sends(actions) == []
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.at_ms == harness.now_ms + GAP
    assert sends(woken(harness, timer.token, GAP)) == ["r2"]


def test_the_one_with_the_turn_is_tried_again_without_a_wait(harness: BalancerHarness) -> None:
    harness.start_request("renew", key="k")
    harness.start_request("renew", key="k")
    assert sends(harness.end_attempt(Outcome.TIMEOUT, request="r1", after_ms=100)) == ["r1"]


def test_one_that_never_ran_hands_the_turn_on_at_once(harness: BalancerHarness) -> None:
    harness.update_endpoints([make_endpoint("a0")])
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    actions: Actions = []
    for attempt in range(3):
        actions = harness.end_attempt(Outcome.CONNECT_FAILED, attempt, request="r1")
    assert any(isinstance(a, api.Refuse) and a.request == "r1" for a in actions)
    assert sends(actions) == ["r2"]


def test_a_held_request_is_refused_when_its_time_is_up(harness: BalancerHarness) -> None:
    harness.start_request("borrow", key="k", remaining_ms=2000)
    actions = harness.start_request("borrow", key="k", remaining_ms=300)
    (timer,) = actions
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ms <= harness.now_ms + 300
    assert expect_single_refusal(woken(harness, timer.token, 300)).request == "r2"
    assert sends(harness.end_attempt(Outcome.OK, request="r1")) == []
    assert not harness.balancer.lines


def test_a_held_request_whose_client_left_loses_its_place(harness: BalancerHarness) -> None:
    for _ in range(3):
        harness.start_request("borrow", key="k")
    harness.feed(api.RequestExpired("r2"))
    assert sends(harness.end_attempt(Outcome.OK, request="r1")) == ["r3"]


def test_an_attempt_that_is_out_keeps_the_turn_after_its_client_left(harness: BalancerHarness) -> None:
    harness.start_request("borrow", key="k")
    harness.start_request("borrow", key="k")
    assert sends(harness.feed(api.RequestExpired("r1"))) == []
    assert sends(harness.end_attempt(Outcome.OK, request="r1", request_over=True)) == ["r2"]


def test_an_idle_key_leaves_nothing_behind(harness: BalancerHarness) -> None:
    for i in range(50):
        harness.start_request("borrow", key=f"k{i}")
        harness.end_attempt(Outcome.TIMEOUT if i % 2 else Outcome.OK)
    woken(harness, "turn", GAP)
    assert not harness.balancer.lines
    assert not harness.balancer.rests


def test_a_long_line_that_nothing_can_serve_is_answered(harness: BalancerHarness) -> None:
    """Guards against one call deeper for each in line."""
    for _ in range(3000):
        harness.start_request("borrow", key="k")
    harness.update_endpoints([])
    actions = harness.end_attempt(Outcome.OK, request="r1")
    assert sum(isinstance(a, api.Refuse) for a in actions) == 2999
