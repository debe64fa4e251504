"""Tests of the driver without sockets.

The balancer is scripted, and the clock, the event loop, the connection pool and the clients are fakes.
"""

from __future__ import annotations

import gc
import random
import weakref
from collections.abc import Callable

import pytest

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.calls import Call
from honeywharf.net.clock import Clock
from honeywharf.net.driver import FINAL_RESPONSE_MARGIN_MS, Driver

Outcome = api.Outcome
SETTINGS = api.Settings(
    zone="z",
    classes=(api.RequestClass(
        "order", 2000, 5000, idempotency=api.Idempotency.KEYED, dedupe_window_ms=7500),),
    limits=api.Limits(max_attempts=3, max_concurrent_requests=2), load_report_fields=("queue", "in_flight"),
)


class FakeClock(Clock):
    def __init__(self) -> None:
        self.now_ms = 1000.0

    def now(self) -> float:
        return self.now_ms


class FakeTimer:
    def __init__(self, at_ms: float, callback: Callable[[], object]) -> None:
        self.at_ms, self.callback, self.done = at_ms, callback, False

    def cancel(self) -> None:
        self.done = True


class FakeLoop:
    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.callbacks: list[Callable[[], object]] = []
        self.timers: list[FakeTimer] = []

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        self.callbacks.append(lambda: callback(*args))
        return None

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> FakeTimer:
        self.timers.append(FakeTimer(self.clock.now_ms + delay * 1000.0, lambda: callback(*args)))
        return self.timers[-1]

    def run_callbacks(self) -> None:
        while self.callbacks:
            self.callbacks.pop(0)()

    def advance(self, duration_ms: float) -> None:
        """Advance the clock, and run the timers that fall due in order."""
        end_ms = self.clock.now_ms + duration_ms
        while due := [t for t in self.timers if not t.done and t.at_ms <= end_ms]:
            first = min(due, key=lambda t: t.at_ms)
            first.done = True
            self.clock.now_ms = max(self.clock.now_ms, first.at_ms)
            first.callback()
            self.run_callbacks()
        self.clock.now_ms = end_ms


class FakePool:
    def __init__(self) -> None:
        self.endpoints = {"b1", "b2"}
        self.started: list[Call] = []
        self.aborted: list[Call] = []
        self.idle_closed_endpoints: list[str] = []  # the endpoints that `close_idle` was called for
        self.not_fully_written: set[Call] = set()

    def has_endpoint(self, endpoint: str) -> bool:
        return endpoint in self.endpoints

    def start(self, call: Call) -> None:
        self.started.append(call)

    def abort(self, call: Call) -> None:
        self.aborted.append(call)

    def has_unwritten_data(self, call: Call) -> bool:
        return call in self.not_fully_written

    def close_idle(self, endpoint: str) -> None:
        self.idle_closed_endpoints.append(endpoint)


class ScriptedBalancer:
    """A balancer that records each event and returns the actions that `react` returns for it."""

    def __init__(self) -> None:
        self.received: list[tuple[float, api.Event]] = []
        self.react: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.handling = False

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        assert not self.handling
        self.handling = True
        try:
            self.received.append((now_ms, event))
            return self.react(event)
        finally:
            self.handling = False


class FakeClient:
    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes, float]] = []

    def send_response(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, content_type: bytes = b"",
    ) -> None:
        self.answers.append((status, body, retry_after_ms))

    def disconnected(self) -> bool:
        return False


class DriverHarness:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.loop, self.pool, self.balancer = FakeLoop(self.clock), FakePool(), ScriptedBalancer()
        self.driver = Driver(
            SETTINGS, self.balancer, self.pool, self.loop, self.clock,  # type: ignore[arg-type]
            ("pending", "busy_reqs"))
        self.request_count = 0

    def arrive(self, time_left_ms: float = 1000.0) -> tuple[http1.Request, FakeClient]:
        self.request_count += 1
        request, client = http1.Request(), FakeClient()
        request.id, request.class_name, request.time_left_ms = f"r{self.request_count}", "order", time_left_ms
        request.method, request.target, request.received_ms = b"POST", b"/api", self.clock.now_ms
        assert self.driver.accept_request(request, client)
        self.loop.run_callbacks()
        return request, client

    def events(self, kind: type) -> list[api.Event]:
        return [e for _, e in self.balancer.received if isinstance(e, kind)]

    def outcomes(self) -> list[tuple[int, api.Outcome, bool]]:
        return [(e.attempt, e.outcome, e.request_finished) for _, e in self.balancer.received
                if isinstance(e, api.AttemptEnded)]


def act_on_timer(*actions: api.Action) -> Callable[[api.Event], list[api.Action]]:
    return lambda event: list(actions) if isinstance(event, api.TimerFired) else []


def send_each_request(event: api.Event) -> list[api.Action]:
    return [api.Send(event.id, "b1", 0.0)] if isinstance(event, api.RequestArrived) else []


def ok_response(body: bytes = b"tile") -> http1.Response:
    response = http1.Response()
    response.status, response.body = 200, body
    return response


@pytest.fixture
def harness() -> DriverHarness:
    return DriverHarness()


def test_the_clock_is_unix_time_and_follows_the_monotonic_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    wall_time_s, monotonic_time_s = [1_700_000_000.0], [50.0]
    monkeypatch.setattr("time.time", lambda: wall_time_s[0])
    monkeypatch.setattr("time.monotonic", lambda: monotonic_time_s[0])
    clock = Clock()
    assert clock.now() == pytest.approx(1_700_000_000_000.0)
    wall_time_s[0] -= 3600.0  # the system clock is set back
    monotonic_time_s[0] += 0.5
    assert clock.now() == pytest.approx(1_700_000_000_500.0)


def test_a_200_answers_the_client_at_once_and_finishes_the_request(harness: DriverHarness) -> None:
    harness.balancer.react = send_each_request
    _, client = harness.arrive()
    harness.clock.now_ms += 15.0
    harness.pool.started[0].written_ms = harness.clock.now_ms
    harness.clock.now_ms += 25.0
    harness.pool.started[0].complete(Outcome.OK, ok_response())
    assert client.answers == [(200, b"tile", 0.0)]
    harness.loop.run_callbacks()
    (event,) = harness.events(api.AttemptEnded)
    assert event == api.AttemptEnded("r1", 0, Outcome.OK, 40.0, True, None, "b1", time_to_send_ms=15.0)
    assert harness.driver.requests == {}
    assert harness.driver.open_request_count == 0


def test_events_are_processed_one_at_a_time_without_reentrancy(harness: DriverHarness) -> None:
    harness.pool.endpoints = set()  # so each Send action causes an AttemptEnded event with NOT_SENT
    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, "b1", 0.0), api.Send(event.id, "b2", 0.0)]
        if isinstance(event, api.AttemptEnded) and event.attempt == 1:
            return [api.Refuse(event.request)]
        return []
    harness.balancer.react = react
    _, client = harness.arrive()
    assert harness.outcomes() == [(0, Outcome.NOT_SENT, False), (1, Outcome.NOT_SENT, False)]
    assert client.answers == [(503, b"", 0.0)]


def test_a_send_past_the_attempt_limit_or_for_a_finished_request_is_not_sent(harness: DriverHarness) -> None:
    harness.balancer.react = send_each_request
    request, _ = harness.arrive()
    harness.balancer.react = act_on_timer(api.Send("r1", "b2", 0.0))
    for _ in range(3):  # the third of these is the fourth attempt, beyond the limit of three
        harness.driver._timer_fired(0.0, "t")
        harness.loop.run_callbacks()
    assert len(harness.pool.started) == 3
    assert harness.outcomes() == [(3, Outcome.NOT_SENT, False)]
    harness.driver.client_disconnected(request)
    harness.loop.run_callbacks()
    harness.driver._timer_fired(0.0, "t")  # the client has disconnected, so the request is finished
    harness.loop.run_callbacks()
    assert len(harness.pool.started) == 3
    assert harness.outcomes()[-1] == (4, Outcome.NOT_SENT, True)


def test_a_send_for_an_unknown_request_is_reported_as_not_sent(harness: DriverHarness) -> None:
    harness.balancer.react = act_on_timer(api.Send("nobody", "b1", 0.0))
    harness.driver._timer_fired(0.0, "t")
    harness.loop.run_callbacks()
    assert harness.pool.started == []
    assert harness.outcomes() == [(0, Outcome.NOT_SENT, True)]


def test_an_unresponsive_backend_times_out_before_the_client_gives_up(harness: DriverHarness) -> None:
    def react(event: api.Event) -> list[api.Action]:
        return [api.Fail(event.request)] if isinstance(event, api.AttemptEnded) else send_each_request(event)
    harness.balancer.react = react
    start_ms = harness.clock.now_ms
    _, client = harness.arrive(1000.0)
    harness.loop.advance(980.0)
    assert client.answers == []
    harness.loop.advance(15.0)
    assert client.answers == [(502, b"", 0.0)]
    assert harness.balancer.received[-1][0] < start_ms + 1000.0
    assert harness.pool.aborted == harness.pool.started
    assert harness.outcomes() == [(0, Outcome.TIMEOUT, False)]
    assert harness.driver.requests == {}


def test_no_attempt_starts_once_the_deadline_timer_has_fired(harness: DriverHarness) -> None:
    """No timer would end such an attempt, so its request would stay in `driver.requests` forever."""
    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded) and event.outcome is Outcome.TIMEOUT:
            return [api.Send(event.request, "b2", 0.0)]
        return send_each_request(event)
    harness.balancer.react = react
    _, client = harness.arrive(1000.0)
    pending = harness.driver.requests["r1"]
    harness.clock.now_ms = pending.deadline_at_ms - 0.5  # the timer fires a little early
    harness.driver._deadline_reached(pending)
    harness.loop.run_callbacks()
    assert [call.endpoint for call in harness.pool.started] == ["b1"]
    assert client.answers == [(502, b"", 0.0)]
    assert harness.driver.requests == {}


def test_time_since_the_request_was_received_reduces_its_remaining_time(harness: DriverHarness) -> None:
    request, client = http1.Request(), FakeClient()
    request.id, request.class_name, request.time_left_ms = "r9", "order", 1000.0
    request.received_ms = harness.clock.now_ms - 300.0  # it was queued behind another request
    assert harness.driver.accept_request(request, client)
    harness.loop.run_callbacks()
    (event,) = harness.events(api.RequestArrived)
    assert isinstance(event, api.RequestArrived)
    assert event.remaining_ms == pytest.approx(700.0 - FINAL_RESPONSE_MARGIN_MS)


def test_a_request_that_is_never_sent_fails_at_its_deadline(harness: DriverHarness) -> None:
    _, client = harness.arrive(500.0)
    harness.loop.advance(499.0)
    assert client.answers == [(502, b"", 0.0)]
    assert harness.events(api.RequestAbandoned) == [api.RequestAbandoned("r1")]
    assert harness.driver.requests == {}


def test_an_attempt_with_a_shorter_timeout_ends_before_the_deadline(harness: DriverHarness) -> None:
    def react(event: api.Event) -> list[api.Action]:
        return [api.Send(event.id, "b1", 80.0)] if isinstance(event, api.RequestArrived) else []
    harness.balancer.react = react
    _, client = harness.arrive(1000.0)
    assert harness.pool.started[0].deadline_at_ms == harness.clock.now_ms + 80.0
    harness.loop.advance(90.0)
    assert harness.outcomes() == [(0, Outcome.TIMEOUT, False)]
    assert client.answers == []


def test_an_attempt_continues_after_its_client_disconnects(harness: DriverHarness) -> None:
    harness.balancer.react = send_each_request
    request, client = harness.arrive()
    harness.driver.client_disconnected(request)
    harness.loop.run_callbacks()
    assert harness.pool.aborted == []
    harness.pool.started[0].complete(Outcome.OK, ok_response())
    harness.loop.run_callbacks()
    assert client.answers == []
    assert harness.outcomes() == [(0, Outcome.OK, True)]
    assert harness.driver.requests == {}


def test_an_attempt_of_a_disconnected_client_still_times_out(harness: DriverHarness) -> None:
    harness.balancer.react = send_each_request
    request, _ = harness.arrive(1000.0)
    harness.driver.client_disconnected(request)
    harness.loop.advance(1000.0)
    assert harness.outcomes() == [(0, Outcome.TIMEOUT, True)]
    assert harness.driver.requests == {}


def test_a_hedged_request_gives_the_client_one_answer(harness: DriverHarness) -> None:
    def react(event: api.Event) -> list[api.Action]:
        return [*send_each_request(event), api.Send(event.id, "b2", 0.0)] if isinstance(
            event, api.RequestArrived) else []
    harness.balancer.react = react
    _, client = harness.arrive()
    harness.pool.started[1].complete(Outcome.OK, ok_response(b"second"))
    harness.loop.run_callbacks()
    harness.pool.started[0].complete(Outcome.OK, ok_response(b"first"))
    harness.loop.run_callbacks()
    assert client.answers == [(200, b"second", 0.0)]
    assert harness.outcomes() == [(1, Outcome.OK, True), (0, Outcome.OK, True)]


@pytest.mark.parametrize("ending", ["disconnected", "answered", "shutdown"])
def test_attempts_not_fully_written_are_aborted_when_their_request_finishes(
    harness: DriverHarness, ending: str,
) -> None:
    def react(event: api.Event) -> list[api.Action]:
        return [*send_each_request(event), api.Send(event.id, "b2", 0.0)] if isinstance(
            event, api.RequestArrived) else []
    harness.balancer.react = react
    request, client = harness.arrive()
    sent, not_fully_written = harness.pool.started
    harness.pool.not_fully_written = {not_fully_written}
    if ending == "disconnected":
        harness.driver.client_disconnected(request)
    elif ending == "answered":
        sent.complete(Outcome.OK, ok_response())
    else:
        harness.driver.fail_open_requests()
    harness.loop.run_callbacks()
    assert harness.pool.aborted == [not_fully_written]
    sent.complete(Outcome.OK, ok_response())
    harness.loop.run_callbacks()
    assert set(harness.outcomes()) == {(0, Outcome.OK, True), (1, Outcome.NOT_SENT, True)}
    assert len(client.answers) == (ending != "disconnected")
    assert harness.driver.requests == {}


def test_cancel_aborts_the_attempt_and_reports_it_once(harness: DriverHarness) -> None:
    harness.balancer.react = send_each_request
    harness.arrive()
    harness.balancer.react = act_on_timer(api.Cancel("r1", 0), api.Cancel("r1", 0), api.Cancel("r1", 7))
    harness.driver._timer_fired(0.0, "t")
    harness.loop.run_callbacks()
    assert harness.pool.aborted == harness.pool.started
    assert harness.outcomes() == [(0, Outcome.CANCELLED, False)]


def test_a_refusal_carries_a_retry_delay_and_is_ignored_after_a_failure(harness: DriverHarness) -> None:
    harness.balancer.react = lambda event: [api.Refuse("r1", 250.0)]
    _, refused = harness.arrive()
    harness.balancer.react = lambda event: [api.Fail("r2"), api.Refuse("r2")]
    _, failed = harness.arrive()
    assert refused.answers == [(503, b"", 250.0)]
    assert failed.answers == [(502, b"", 0.0)]


def test_an_exception_in_the_balancer_fails_only_its_own_request(
    harness: DriverHarness, capsys: pytest.CaptureFixture[str],
) -> None:
    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived) and event.id == "r1":
            raise KeyError("broken")
        return send_each_request(event)
    harness.balancer.react = react
    _, first = harness.arrive()
    _, second = harness.arrive()
    assert first.answers == [(502, b"", 0.0)]
    harness.pool.started[0].complete(Outcome.OK, ok_response())
    assert second.answers == [(200, b"tile", 0.0)]
    assert "broken" in capsys.readouterr().err


def test_an_exception_while_handling_an_ended_attempt_fails_the_request(harness: DriverHarness) -> None:
    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_each_request(event)
    harness.balancer.react = react
    _, client = harness.arrive()
    harness.pool.started[0].complete(Outcome.RESET, None)
    harness.loop.run_callbacks()
    assert client.answers == [(502, b"", 0.0)]
    assert harness.driver.requests == {}


def test_an_answered_request_is_reported_as_abandoned_after_an_exception(harness: DriverHarness) -> None:
    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_each_request(event)
    harness.balancer.react = react
    _, client = harness.arrive()
    # The client is answered before the balancer gets the event.
    harness.pool.started[0].complete(Outcome.OK, ok_response())
    harness.loop.run_callbacks()
    assert client.answers == [(200, b"tile", 0.0)]
    assert harness.events(api.RequestAbandoned) == [api.RequestAbandoned("r1")]
    assert harness.driver.requests == {}


def test_a_finished_request_leaves_no_reference_cycle(harness: DriverHarness) -> None:
    """Its memory is freed at once, and not only when the garbage collector runs."""
    harness.balancer.react = send_each_request
    gc.disable()
    try:
        request, _ = harness.arrive()
        attempt_ref = weakref.ref(harness.driver.requests[request.id].attempts[0])
        harness.pool.started.pop().complete(Outcome.OK, ok_response())
        harness.loop.run_callbacks()
        harness.loop.timers.clear()
        assert harness.driver.requests == {}
        assert attempt_ref() is None
    finally:
        gc.enable()


def test_discovery_events_are_processed_before_queued_events(harness: DriverHarness) -> None:
    request, client = http1.Request(), FakeClient()
    request.id, request.class_name, request.time_left_ms, request.received_ms = (
        "r1", "order", 1000.0, harness.clock.now_ms)
    harness.driver.accept_request(request, client)
    harness.driver.handle_discovery_event(api.EndpointsListed(api.ListKind.CHANGES))
    harness.loop.run_callbacks()
    assert [type(e) for _, e in harness.balancer.received] == [api.EndpointsListed, api.RequestArrived]


def test_timer_fired_is_not_sent_before_its_due_time(harness: DriverHarness) -> None:
    harness.driver._execute(api.SetTimer(harness.clock.now_ms + 50.0, "t"))
    (timer,) = harness.loop.timers
    harness.clock.now_ms += 49.5  # the event loop's timer fires a little early
    timer.done = True
    timer.callback()
    harness.loop.run_callbacks()
    assert harness.events(api.TimerFired) == []
    harness.loop.advance(1.0)
    assert harness.events(api.TimerFired) == [api.TimerFired("t")]


def test_load_report_fields_are_parsed_by_configured_or_settings_name_and_returned_in_settings_order(
    harness: DriverHarness,
) -> None:
    assert harness.driver._parse_load_report(b"busy_reqs=7,pending=2") == (2.0, 7.0)
    assert harness.driver._parse_load_report(b"inflight=1, queue=3,in_flight=4") == (3.0, 4.0)
    assert harness.driver._parse_load_report(b"pending=2") is None
    assert harness.driver._parse_load_report(b"pending=x,busy_reqs=1") is None
    assert harness.driver._parse_load_report(None) is None


def test_each_probe_ends_once_with_its_outcome_and_load_report(harness: DriverHarness) -> None:
    harness.balancer.react = act_on_timer(api.Probe("b1"), api.Probe("b2"), api.Probe("b9"))
    harness.driver._timer_fired(0.0, "t")
    harness.loop.run_callbacks()
    response = ok_response(b"pending=1,busy_reqs=2")
    harness.pool.started[0].complete(Outcome.OK, response)
    harness.loop.advance(1000.0)
    found = [
        (e.endpoint, e.outcome, e.load_report)
        for _, e in harness.balancer.received if isinstance(e, api.ProbeEnded)]
    assert sorted(found, key=lambda x: x[0]) == [
        ("b1", Outcome.OK, (1.0, 2.0)), ("b2", Outcome.TIMEOUT, None), ("b9", Outcome.NOT_SENT, None)]


def test_a_request_with_the_id_of_an_open_request_is_rejected(harness: DriverHarness) -> None:
    request, _ = harness.arrive()
    assert not harness.driver.accept_request(request, FakeClient())
    assert harness.driver.open_request_count == 1


def test_the_driver_is_at_capacity_at_the_open_request_limit(harness: DriverHarness) -> None:
    harness.arrive()
    assert not harness.driver.at_capacity()
    harness.arrive()
    assert harness.driver.at_capacity()


def test_every_request_gets_one_answer_under_random_events(harness: DriverHarness) -> None:
    """Outcomes, cancels, disconnects, exceptions and timeouts are random; `driver.requests` ends empty."""
    rng = random.Random(4)
    def react(event: api.Event) -> list[api.Action]:
        if rng.random() < 0.02:
            raise RuntimeError("random failure")
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, rng.choice(["b1", "b2", "b9"]), rng.choice([0.0, 30.0]))]
        if isinstance(event, api.AttemptEnded) and not event.request_finished:
            retry: list[api.Action] = [api.Send(event.request, "b1", 0.0), api.Cancel(event.request, 0)]
            return rng.choice([retry, [api.Refuse(event.request, 5.0)], [api.Fail(event.request)], []])
        return []
    harness.balancer.react = react
    clients, disconnected_ids = [], set()
    for _ in range(400):
        request, client = harness.arrive(rng.uniform(0.0, 300.0))
        clients.append((request.id, client))
        for call in rng.sample(harness.pool.started[-5:], k=min(2, len(harness.pool.started))):
            call.complete(
                rng.choice(
                    [Outcome.OK, Outcome.RESET, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED]
                ),
                ok_response(),
            )
        if rng.random() < 0.1:
            if not client.answers:
                disconnected_ids.add(request.id)
            harness.driver.client_disconnected(request)
        harness.loop.run_callbacks()
        harness.loop.advance(rng.uniform(0.0, 20.0))
    harness.loop.advance(1000.0)
    assert harness.driver.requests == {}
    assert harness.driver.open_request_count == 0
    for request_id, client in clients:
        assert len(client.answers) == (0 if request_id in disconnected_ids else 1)
