"""Tests of the rules on retries, final responses, draining servers, slow start and ordering by key.

Examples cover each outcome. A property-based test then checks the actions that follow random sequences of
events against an independent checker of the rules.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from honeywharf import interface as api
from honeywharf.balancer import Balancer
from tests.balancer_harness import (
    KEYED_CLASS,
    ONCE_CLASS,
    REPEATABLE_CLASS,
    BalancerHarness,
    expect_only_refusal,
    expect_single_send,
    make_endpoint,
    make_settings,
)

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, max_examples=150)
hypothesis_settings.load_profile("ci")

Outcome = api.Outcome
NOT_EXECUTED = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.CONNECT_TIMEOUT, Outcome.NOT_SENT]
MAY_HAVE_EXECUTED = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]
ENDPOINTS_IN_THREE_CELLS = [make_endpoint(f"a{i}", cell=i % 2) for i in range(6)] + [
    make_endpoint(f"b{i}", "b", cell=2) for i in range(3)
]


@pytest.mark.parametrize("outcome", MAY_HAVE_EXECUTED)
def test_a_non_idempotent_request_that_may_have_been_executed_is_not_retried(outcome: api.Outcome) -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request("write")
    assert harness.end_attempt(outcome) == [api.Fail("r1")]


@pytest.mark.parametrize("outcome", NOT_EXECUTED)
def test_a_non_idempotent_request_that_was_not_executed_is_retried_at_another_endpoint(
    outcome: api.Outcome,
) -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    first = expect_single_send(harness.start_request("write")).endpoint
    assert expect_single_send(harness.end_attempt(outcome)).endpoint != first


@pytest.mark.parametrize("outcome", MAY_HAVE_EXECUTED)
def test_a_retry_with_an_idempotency_key_stays_in_the_cell_of_the_first_attempt(outcome: api.Outcome) -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    cells = {e.id: e.cell for e in ENDPOINTS_IN_THREE_CELLS}
    first = expect_single_send(harness.start_request("keyed")).endpoint
    assert cells[expect_single_send(harness.end_attempt(outcome)).endpoint] == cells[first]


@pytest.mark.parametrize(("after_ms", "time_to_send_ms", "expected_ms"), [
    (1000.0, 0.0, 500.0), (1499.0, 0.0, 1.0), (1499.0, 300.0, 301.0), (1500.0, 1.0, 1.0),
])
def test_a_retry_with_an_idempotency_key_may_be_sent_until_the_deduplication_window_ends(
    after_ms: float, time_to_send_ms: float, expected_ms: float,
) -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1")])
    # The window starts when the first attempt has been sent, `time_to_send_ms` after the balancer's decision.
    assert expect_single_send(harness.start_request("keyed")).send_within_ms == math.inf
    retry = expect_single_send(
        harness.end_attempt(Outcome.RESET, after_ms=after_ms, time_to_send_ms=time_to_send_ms)
    )
    assert retry.send_within_ms == expected_ms


def test_a_request_with_an_idempotency_key_is_not_retried_after_its_deduplication_window() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request("keyed")
    assert harness.end_attempt(Outcome.ERROR, after_ms=KEYED_CLASS.dedupe_window_ms) == [api.Fail("r1")]


def test_a_request_is_refused_after_the_maximum_number_of_attempts() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request()
    assert expect_single_send(harness.end_attempt(Outcome.CONNECT_FAILED, 0))
    assert expect_single_send(harness.end_attempt(Outcome.CONNECT_FAILED, 1))
    assert expect_only_refusal(harness.end_attempt(Outcome.CONNECT_FAILED, 2)).request == "r1"


def test_the_retry_budget_limits_retries() -> None:
    """The budget prevents retry storms: if every attempt fails, retries stay few compared with requests."""
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    retries = 0
    for _ in range(300):
        harness.start_request()
        actions = harness.end_attempt(Outcome.ERROR)
        while isinstance(actions[0], api.Send):
            retries += 1
            actions = harness.end_attempt(Outcome.ERROR, attempt=1, after_ms=0.0)
            if isinstance(actions[0], api.Send):
                retries += 1
                actions = harness.end_attempt(Outcome.ERROR, attempt=2, after_ms=0.0)
    # The token bucket starts with 5 tokens, and each of the 300 requests adds 0.1: 35 retries at most.
    assert 5 <= retries <= 36


def test_requests_are_refused_until_the_first_endpoint_list_arrives() -> None:
    harness = BalancerHarness()
    assert expect_only_refusal(harness.start_request()).request == "r1"
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    assert expect_single_send(harness.start_request())


@pytest.mark.parametrize("time_left_ms", [0.0, -5.0])
def test_a_request_past_its_deadline_is_refused_at_once(time_left_ms: float) -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    assert expect_only_refusal(harness.start_request(remaining_ms=time_left_ms)).request == "r1"


def test_a_request_of_an_unknown_class_fails() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    assert harness.start_request("mystery") == [api.Fail("r1")]


def test_events_of_abandoned_or_unknown_requests_and_timers_are_ignored() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request()
    assert harness.feed(api.RequestAbandoned("r1")) == []
    assert harness.end_attempt(Outcome.TIMEOUT) == []
    assert harness.end_attempt(Outcome.OK) == []
    assert harness.feed(api.RequestAbandoned("r1")) == []
    assert harness.feed(api.ResponseStarted("nobody", 0)) == []
    assert harness.feed(api.TimerFired("nothing")) == []
    assert harness.feed(api.ProbeEnded("a0", Outcome.OK, 1.0)) == []
    assert not harness.balancer.requests


def test_a_request_fails_when_its_attempt_times_out_at_the_deadline() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request("write")
    assert harness.end_attempt(Outcome.TIMEOUT, after_ms=2000.0) == [api.Fail("r1")]


class RuleViolationError(AssertionError):
    """The balancer violated a rule."""


class Checker:
    """Checks the rules on final responses, retries, draining servers and order from events and actions alone.

    Until an attempt has ended, it counts as one that may have been executed.
    """

    def __init__(
        self, classes: tuple[api.RequestClass, ...], limits: api.Limits, key_cooldown_ms: float = 0.0
    ) -> None:
        self.key_cooldown_ms = key_cooldown_ms
        self.cooldown_ends_ms: dict[str, float] = {}
        self.classes = {c.name: c for c in classes}
        self.limits = limits
        self.listed: dict[str, api.Endpoint] = {}
        self.requests: dict[str, dict[str, Any]] = {}
        self.finished: set[str] = set()

    def observe_event(self, now_ms: float, event: api.Event) -> None:
        if isinstance(event, api.EndpointsListed) and event.kind is not api.ListKind.FAILED:
            if event.kind is not api.ListKind.CHANGES:
                self.listed.clear()
            self.listed.update({e.id: e for e in event.endpoints})
        elif isinstance(event, api.RequestArrived):
            self.requests[event.id] = {
                "request_class": self.classes[event.class_name], "deadline_ms": now_ms + event.remaining_ms,
                "attempts": [], "ordering_key": event.key,
            }
        elif isinstance(event, api.RequestAbandoned):
            self.finished.add(event.request)
        elif isinstance(event, api.AttemptEnded):
            attempt = self.requests[event.request]["attempts"][event.attempt]
            attempt["in_flight"] = False
            attempt["may_have_executed"] = event.outcome not in NOT_EXECUTED
            entry = self.requests[event.request]
            if (
                event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
                and entry["request_class"].ordered_by_key
            ):
                self.cooldown_ends_ms[entry["ordering_key"]] = now_ms + self.key_cooldown_ms
            if event.request_finished:
                self.finished.add(event.request)

    def observe_action(self, now_ms: float, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._check_send(now_ms, action)
        elif isinstance(action, api.Refuse | api.Fail):
            if action.request in self.finished:
                raise RuleViolationError("the request got two final responses")
            self.finished.add(action.request)
            entry = self.requests[action.request]
            may_have_executed = any(attempt["may_have_executed"] for attempt in entry["attempts"])
            request_class = entry["request_class"]
            retry_is_safe = request_class.idempotency is api.Idempotency.REPEATABLE or (
                request_class.idempotency is api.Idempotency.KEYED
                and request_class.dedupe_scope is api.DedupeScope.ALL)
            if isinstance(action, api.Refuse) and may_have_executed and not retry_is_safe:
                raise RuleViolationError("a request that may have been executed was refused")

    def _check_send(self, now_ms: float, action: api.Send) -> None:
        if action.request in self.finished:
            raise RuleViolationError("an attempt was sent after the final response")
        entry, target = self.requests[action.request], self.listed.get(action.endpoint)
        if target is None or target.state is not api.EndpointState.READY:
            raise RuleViolationError("an attempt was sent to a server that is not ready")
        request_class, attempts = entry["request_class"], entry["attempts"]
        if request_class.ordered_by_key and entry["ordering_key"]:
            for request_id, other in self.requests.items():
                if request_id == action.request:
                    break
                if (other["request_class"].ordered_by_key and other["ordering_key"] == entry["ordering_key"]
                        and (request_id not in self.finished
                             or any(attempt["in_flight"] for attempt in other["attempts"]))):
                    raise RuleViolationError("an attempt was sent out of order")
            if not attempts and self.cooldown_ends_ms.get(entry["ordering_key"], 0.0) > now_ms + 1e-6:
                raise RuleViolationError("an attempt was sent in the cooldown of its ordering key")
        if len(attempts) >= self.limits.max_attempts:
            raise RuleViolationError("the request had too many attempts")
        if any(attempt["in_flight"] for attempt in attempts) and not self.limits.concurrent_attempts:
            raise RuleViolationError("two attempts of the request were in flight at the same time")
        earlier = [attempt for attempt in attempts if attempt["may_have_executed"]]
        if earlier and request_class.idempotency is api.Idempotency.ONCE:
            raise RuleViolationError("a request that may have been executed was sent again")
        if earlier and request_class.idempotency is api.Idempotency.KEYED:
            if now_ms >= earlier[0]["sent_ms"] + request_class.dedupe_window_ms:
                raise RuleViolationError("a keyed request was retried after its deduplication window")
            for attempt in earlier:
                # Whether the target is in each scope, in the order of DedupeScope: ALL, ZONE, CELL.
                in_scope = (
                    True, attempt["endpoint"].zone == target.zone, attempt["endpoint"].cell == target.cell)
                if not in_scope[list(api.DedupeScope).index(request_class.dedupe_scope)]:
                    raise RuleViolationError("a keyed request was retried outside its deduplication scope")
        attempts.append(
            {"endpoint": target, "sent_ms": now_ms, "in_flight": True, "may_have_executed": True})

    def check_overdue_requests(self, now_ms: float) -> None:
        """Check that each request whose deadline has passed has its final response."""
        for request_id, entry in self.requests.items():
            if request_id not in self.finished and entry["deadline_ms"] < now_ms:
                raise RuleViolationError("a request had no final response by its deadline")


class Simulation:
    """Feeds random valid events to a balancer, and passes the events and its actions to a checker."""

    def __init__(self, balancer: Balancer, settings: api.Settings, seed: int) -> None:
        self.balancer, self.random = balancer, random.Random(seed)
        self.checker = Checker(settings.classes, settings.limits, settings.rules.key_cooldown_ms)
        self.timers: list[tuple[float, str]] = []
        self.now_ms, self.request_count = 1000.0, 0
        self.in_flight: list[tuple[float, str, int, api.Outcome]] = []
        self.feed(api.Started())
        self.feed(api.EndpointsListed(api.ListKind.CACHED, tuple(ENDPOINTS_IN_THREE_CELLS)))

    def feed(self, event: api.Event) -> None:
        self.checker.observe_event(self.now_ms, event)
        for action in self.balancer.handle(self.now_ms, event):
            self.checker.observe_action(self.now_ms, action)
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_ms, action.token))
            if isinstance(action, api.Send):
                entry = self.checker.requests[action.request]
                end_ms = min(
                    self.now_ms + self.random.choice([1, 50, 300, 5000]), self.now_ms + action.timeout_ms)
                outcome = self.random.choice([Outcome.OK, Outcome.OK, *Outcome])
                if end_ms >= entry["deadline_ms"] or end_ms >= self.now_ms + action.timeout_ms:
                    outcome = Outcome.TIMEOUT
                self.in_flight.append((end_ms, action.request, len(entry["attempts"]) - 1, outcome))

    def run_until(self, until_ms: float) -> None:
        """End the attempts and fire the timers that are due by `until_ms`, in the order of their times."""
        while self.in_flight or self.timers:
            self.in_flight.sort()
            self.timers.sort()
            next_timer_ms = self.timers[0][0] if self.timers else float("inf")
            due_ms = min(self.in_flight[0][0] if self.in_flight else float("inf"), next_timer_ms)
            if due_ms > until_ms:
                break
            self.now_ms = max(self.now_ms, due_ms)
            if due_ms == next_timer_ms:
                self.feed(api.TimerFired(self.timers.pop(0)[1]))
                continue
            _, request, attempt, outcome = self.in_flight.pop(0)
            finished = request in self.checker.finished or outcome is Outcome.OK
            elapsed_ms = due_ms - self.checker.requests[request]["attempts"][attempt]["sent_ms"]
            self.feed(api.AttemptEnded(request, attempt, outcome, elapsed_ms, finished))
        self.now_ms = until_ms
        self.checker.check_overdue_requests(until_ms)

    def step(self, kind: int) -> None:
        """Take one random step of the given kind, 0 to 9.

        0 to 5: a request arrives. 6 and 7: time passes. 8: an endpoint changes its state. 9: the client of
        the latest request disconnects.
        """
        if kind < 6:
            self.request_count += 1
            class_name = self.random.choice([c.name for c in self.balancer.settings.classes])
            remaining_ms = self.random.choice([0.0, 20.0, 800.0, 2000.0])
            key = self.random.choice(["", "k1", "k2"])
            self.feed(api.RequestArrived(f"q{self.request_count}", class_name, remaining_ms, key=key))
        elif kind < 8:
            self.run_until(self.now_ms + self.random.choice([0.5, 20, 400]))
        elif kind == 8:
            old = ENDPOINTS_IN_THREE_CELLS[self.random.randrange(len(ENDPOINTS_IN_THREE_CELLS))]
            state = self.random.choice(list(api.EndpointState))
            new = make_endpoint(old.id, old.zone, cell=old.cell, state=state, started_ms=self.now_ms)
            self.feed(api.EndpointsListed(api.ListKind.CHANGES, (new,)))
        elif self.request_count and f"q{self.request_count}" not in self.checker.finished:
            self.feed(api.RequestAbandoned(f"q{self.request_count}"))


def run_simulation(balancer_type: type[Balancer], seed: int, steps: list[int], **changes: Any) -> Balancer:
    settings = make_settings(**changes)
    simulation = Simulation(balancer_type(settings, seed), settings, seed)
    for kind in steps:
        simulation.step(kind)
    simulation.run_until(simulation.now_ms + 10000)
    return simulation.balancer


STEPS = st.lists(st.integers(0, 9), min_size=5, max_size=120)


@given(
    seed=st.integers(0, 2**32), steps=STEPS, tier=st.integers(0, 1), scope=st.sampled_from(api.DedupeScope),
    hedging=st.booleans(), ordered=st.booleans(),
)
def test_the_balancer_obeys_the_rules_for_random_events_and_keeps_no_state_of_finished_requests(
    seed: int, steps: list[int], tier: int, scope: api.DedupeScope, hedging: bool, ordered: bool
) -> None:
    keyed = api.RequestClass("keyed", 1000, 2000, api.Idempotency.KEYED, scope, 700, ordered_by_key=ordered)
    write = api.RequestClass("write", 1000, 2000, api.Idempotency.ONCE, ordered_by_key=ordered)
    limits = api.Limits(max_attempts=3, cancel=True, concurrent_attempts=hedging)
    balancer = run_simulation(
        Balancer,
        seed,
        steps,
        tier=tier,
        tier_count=2,
        classes=(REPEATABLE_CLASS, write, keyed),
        limits=limits,
        rules=api.Rules(
            slow_start_share=0.2, warm_up_ms=10000, poll_interval_ms=10000, key_cooldown_ms=150.0
        ),
    )
    assert not balancer.requests
    assert not balancer.key_queues
    assert not balancer.queued_deadlines
    assert all(not s.active_calls for s in balancer.host_set.servers.values())


class RetriesFailures(Balancer):
    """Broken on purpose: retries each request that it should fail."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now_ms, event)
        return [api.Send(a.request, "a0", 100.0) if isinstance(a, api.Fail) else a for a in actions]


class RespondsTwice(Balancer):
    """Broken on purpose: fails each request that it has just refused."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now_ms, event)
        return actions + [api.Fail(a.request) for a in actions if isinstance(a, api.Refuse)]


class IgnoresListChanges(Balancer):
    """Broken on purpose: ignores changes of the endpoint list."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.EndpointsListed) and event.kind is api.ListKind.CHANGES:
            return []
        return super().handle(now_ms, event)


class OmitsFailures(Balancer):
    """Broken on purpose: gives no final response to a request that failed."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        return [a for a in super().handle(now_ms, event) if not isinstance(a, api.Fail)]


class SendsQueuedRequests(Balancer):
    """Broken on purpose: sends requests that should be queued."""

    def _enqueue(self, request: Any) -> None:
        super()._enqueue(request)
        if not request.attempts and not request.is_done:
            self._start_attempt(request)


class IgnoresCooldown(Balancer):
    """Broken on purpose: sends the next request of a key without the cooldown."""

    def _dispatch_next(self, key: str) -> None:
        if key in self.key_queues:
            self.key_queues[key].cooldown_until_ms = 0.0
        super()._dispatch_next(key)


@pytest.mark.parametrize(
    "broken",
    [RetriesFailures, RespondsTwice, IgnoresListChanges, OmitsFailures, SendsQueuedRequests, IgnoresCooldown])
def test_the_checker_catches_broken_balancers(broken: type[Balancer]) -> None:
    rng = random.Random(5)
    caught = False
    for seed in range(30):
        try:
            run_simulation(
                broken,
                seed,
                [rng.randrange(10) for _ in range(100)],
                classes=(
                    REPEATABLE_CLASS,
                    ONCE_CLASS,
                    KEYED_CLASS,
                    replace(ONCE_CLASS, name="ordered", ordered_by_key=True),
                ),
                rules=api.Rules(key_cooldown_ms=150.0),
            )
        except RuleViolationError:
            caught = True
    assert caught


def test_calls_to_a_cold_server_stay_within_its_rising_slow_start_share() -> None:
    """In each window, the calls to a cold server stay within its share plus a margin for random variation."""
    harness = BalancerHarness()
    start_ms = harness.now_ms
    harness.feed_list(
        [make_endpoint("a0", started_ms=start_ms), *(make_endpoint(f"a{i}") for i in range(1, 5))]
    )
    send_times_ms: list[float] = []
    total = 0
    while harness.now_ms < start_ms + 10000:
        for action in harness.start_request():
            total += 1
            if isinstance(action, api.Send) and action.endpoint == "a0":
                send_times_ms.append(harness.now_ms)
        harness.end_attempt(api.Outcome.OK, after_ms=1.0)
    requests_per_ms = total / (harness.now_ms - start_ms)
    for window_start_ms in range(0, 10000, 1000):
        # Windows of 2 s start each second. The capacity rises from 0.2 to 1 within the warm-up of 10 s.
        # This is its value at the window's end.
        capacity_at_window_end = 0.2 + 0.8 * (window_start_ms + 2000) / 10000
        share = capacity_at_window_end / (4 + capacity_at_window_end)
        calls = sum(
            start_ms + window_start_ms <= t < start_ms + window_start_ms + 2000 for t in send_times_ms)
        assert calls <= 1.35 * share * requests_per_ms * 2000


def test_the_end_of_an_unknown_attempt_is_ignored() -> None:
    harness = BalancerHarness()
    harness.feed_list(ENDPOINTS_IN_THREE_CELLS)
    harness.start_request()
    assert harness.end_attempt(Outcome.ERROR, attempt=-1) == []
    assert harness.end_attempt(Outcome.ERROR, attempt=7) == []
    assert expect_single_send(harness.end_attempt(Outcome.CONNECT_FAILED, attempt=0))
