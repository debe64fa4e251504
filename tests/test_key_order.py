"""Tests of the order of requests that share a key.

They run one at a time in the order of their arrival, with a cooldown after an attempt that may still run.
"""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.helpers import Actions, Driver, endpoint, make_settings, only_refusal

O = api.Outcome  # noqa: E741
BORROW = api.RequestClass("borrow", 1000, 2000, idempotency=api.Idempotency.ONCE, ordered_by_key=True)
RENEW = api.RequestClass(
    "renew", 1000, 2000, idempotency=api.Idempotency.KEYED, dedupe_window_ms=1500, ordered_by_key=True)
READ = api.RequestClass("read", 1000, 2000)
COOLDOWN_MS = 150.0


@pytest.fixture
def driver() -> Driver:
    settings = make_settings(
        classes=(BORROW, RENEW, READ), rules=api.Rules(poll_interval_ms=10000, key_cooldown_ms=COOLDOWN_MS))
    new_driver = Driver(settings)
    new_driver.list([endpoint(f"a{i}") for i in range(6)])
    return new_driver


def fire_timer(driver: Driver, token: str, after_ms: float) -> Actions:
    driver.now += after_ms
    return driver.feed(api.TimerFired(token))


def sent_requests(actions: Actions) -> list[str]:
    return [a.request for a in actions if isinstance(a, api.Send)]


def test_requests_of_a_key_run_one_at_a_time_in_order_over_all_ordered_classes(driver: Driver) -> None:
    assert sent_requests(driver.request("borrow", key="k")) == ["r1"]
    assert sent_requests(driver.request("renew", key="k")) == []
    assert sent_requests(driver.request("borrow", key="k")) == []
    assert sent_requests(driver.end(O.OK, request="r1")) == ["r2"]
    assert sent_requests(driver.end(O.OK, request="r2")) == ["r3"]


def test_other_keys_requests_without_a_key_and_unordered_classes_do_not_wait(driver: Driver) -> None:
    driver.request("borrow", key="k")
    assert sent_requests(driver.request("borrow", key="j")) == ["r2"]
    assert sent_requests(driver.request("borrow")) == ["r3"]
    assert sent_requests(driver.request("borrow")) == ["r4"]
    assert sent_requests(driver.request("read", key="k")) == ["r5"]


@pytest.mark.parametrize("outcome", [O.TIMEOUT, O.RESET])
def test_a_key_has_a_cooldown_after_an_attempt_that_may_still_run(
    driver: Driver, outcome: api.Outcome,
) -> None:
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    actions = driver.end(outcome, request="r1")
    assert api.Fail("r1") in actions
    assert sent_requests(actions) == []
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.at_ms == driver.now + COOLDOWN_MS
    assert sent_requests(fire_timer(driver, timer.token, COOLDOWN_MS)) == ["r2"]


def test_the_retry_of_the_first_request_does_not_wait_for_the_cooldown(driver: Driver) -> None:
    driver.request("renew", key="k")
    driver.request("renew", key="k")
    assert sent_requests(driver.end(O.TIMEOUT, request="r1", after_ms=100)) == ["r1"]


def test_the_next_request_is_sent_at_once_if_the_first_did_not_run(driver: Driver) -> None:
    driver.list([endpoint("a0")])
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    actions: Actions = []
    for attempt in range(3):
        actions = driver.end(O.CONNECT_FAILED, attempt, request="r1")
    assert any(isinstance(a, api.Refuse) and a.request == "r1" for a in actions)
    assert sent_requests(actions) == ["r2"]


def test_a_queued_request_is_refused_at_its_deadline(driver: Driver) -> None:
    driver.request("borrow", key="k", remaining_ms=2000)
    actions = driver.request("borrow", key="k", remaining_ms=300)
    (timer,) = actions
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ms <= driver.now + 300
    assert only_refusal(fire_timer(driver, timer.token, 300)).request == "r2"
    assert sent_requests(driver.end(O.OK, request="r1")) == []
    assert not driver.balancer.key_queues


def test_a_queued_request_whose_client_left_is_removed(driver: Driver) -> None:
    for _ in range(3):
        driver.request("borrow", key="k")
    driver.feed(api.RequestAbandoned("r2"))
    assert sent_requests(driver.end(O.OK, request="r1")) == ["r3"]


def test_an_attempt_in_flight_blocks_its_key_after_its_client_left(driver: Driver) -> None:
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    assert sent_requests(driver.feed(api.RequestAbandoned("r1"))) == []
    assert sent_requests(driver.end(O.OK, request="r1", request_finished=True)) == ["r2"]


def test_idle_keys_leave_no_state(driver: Driver) -> None:
    for i in range(50):
        driver.request("borrow", key=f"k{i}")
        driver.end(O.TIMEOUT if i % 2 else O.OK)
    fire_timer(driver, "turn", COOLDOWN_MS)
    assert not driver.balancer.key_queues
    assert not driver.balancer.key_cooldowns


def test_a_long_queue_is_refused_if_no_server_is_left(driver: Driver) -> None:
    """Recursion per queued request would exceed the depth of the stack."""
    for _ in range(3000):
        driver.request("borrow", key="k")
    driver.list([])
    actions = driver.end(O.OK, request="r1")
    assert sum(isinstance(a, api.Refuse) for a in actions) == 2999
