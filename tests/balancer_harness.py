"""Builders of settings and endpoints, and a harness that feeds events to a balancer without any I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from honeywharf import interface as api
from honeywharf.balancer import Balancer

Actions = list[api.Action]

REPEATABLE_CLASS = api.RequestClass("read", aim_ms=1000, deadline_ms=2000)
ONCE_CLASS = api.RequestClass("write", aim_ms=1000, deadline_ms=2000, idempotency=api.Idempotency.ONCE)
KEYED_CLASS = api.RequestClass(
    "keyed", aim_ms=1000, deadline_ms=2000, idempotency=api.Idempotency.KEYED,
    dedupe_scope=api.DedupeScope.CELL, dedupe_window_ms=1500,
)


def make_settings(**changes: Any) -> api.Settings:
    """Build settings with two zones and three request classes; `changes` replaces any of the fields."""
    fields: dict[str, Any] = {
        "zone": "a",
        "zone_count": 2,
        "classes": (REPEATABLE_CLASS, ONCE_CLASS, KEYED_CLASS),
        "limits": api.Limits(max_attempts=3, cancel=True, retry_after=True, max_retry_after_ms=1000),
        "rules": api.Rules(slow_start_share=0.2, warm_up_ms=10000, poll_interval_ms=10000),
    }
    fields.update(changes)
    return api.Settings(**fields)


def make_endpoint(name: str, zone: str = "a", **changes: Any) -> api.Endpoint:
    return api.Endpoint(name, zone, **changes)


TWO_ZONE_ENDPOINTS = [
    *(make_endpoint(f"a{i}") for i in range(4)),
    *(make_endpoint(f"b{i}", "b") for i in range(4)),
]


class BalancerHarness:
    """Feeds events to one balancer on a simulated clock, and names its requests "r1", "r2" and so on."""

    def __init__(self, settings: api.Settings | None = None, seed: int = 7) -> None:
        self.balancer = Balancer(settings or make_settings(), seed)
        self.now_ms = 1000.0
        self.request_count = 0
        self.feed(api.Started())

    def feed(self, event: api.Event) -> Actions:
        return self.balancer.handle(self.now_ms, event)

    def feed_list(
        self, endpoints: Iterable[api.Endpoint], kind: api.ListKind = api.ListKind.FULL
    ) -> Actions:
        """Feed a full list, changes of the list or, with the kind FAILED, a failed poll."""
        return self.feed(api.EndpointsListed(kind, tuple(endpoints)))

    def start_request(self, class_name: str = "read", remaining_ms: float = 2000, **changes: Any) -> Actions:
        self.request_count += 1
        return self.feed(api.RequestArrived(f"r{self.request_count}", class_name, remaining_ms, **changes))

    def end_attempt(
        self, outcome: api.Outcome, attempt: int = 0, request: str | None = None, after_ms: float = 50.0,
        **changes: Any,
    ) -> Actions:
        """Advance the clock by `after_ms`, then end an attempt of the given (or else the latest) request."""
        self.now_ms += after_ms
        changes.setdefault("request_finished", outcome is api.Outcome.OK)
        return self.feed(
            api.AttemptEnded(request or f"r{self.request_count}", attempt, outcome, after_ms, **changes)
        )

    def run_requests(self, count: int, outcome: api.Outcome = api.Outcome.OK) -> dict[str, int]:
        """Run requests that all end with the same outcome; return how many were sent to each endpoint."""
        sent: dict[str, int] = {}
        for _ in range(count):
            for action in self.start_request():
                if isinstance(action, api.Send):
                    sent[action.endpoint] = sent.get(action.endpoint, 0) + 1
            self.end_attempt(outcome, after_ms=1.0, request_finished=True)
        return sent


def expect_single_send(actions: list[api.Action]) -> api.Send:
    """Return the only Send among the actions, which may hold actions of other kinds too."""
    sends = [action for action in actions if isinstance(action, api.Send)]
    assert len(sends) == 1, actions
    return sends[0]


def expect_only_refusal(actions: list[api.Action]) -> api.Refuse:
    """Return the only action, which has to be a refusal; its retry delay is between 200 and 600 ms."""
    (action,) = actions
    assert isinstance(action, api.Refuse), actions
    assert 200.0 <= action.retry_after_ms <= 600.0
    return action
