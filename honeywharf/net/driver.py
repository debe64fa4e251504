"""The driver: feeds events to the decision module one at a time and executes its actions in order.

It owns the clock, the timers and the table of requests, and knows nothing of sockets: callers and backends
are behind `Client` and `ConnectionPool`. All decisions are the module's.
"""

from __future__ import annotations

from collections import deque

from honeywharf import interface as api
from honeywharf.balancer import Balancer
from honeywharf.net import http1
from honeywharf.net.attempts import Attempt, PendingRequest, Probe
from honeywharf.net.calls import Client, ConnectionPool, DiscoveryClient
from honeywharf.net.clock import TIMER_TOLERANCE_MS, Clock, Loop
from honeywharf.net.log import log

# The final answer has to be on its way before the client gives up: its time ran from its sending, so part of
# it was gone when the request was read, and the timer may run late.
ANSWER_MARGIN_MS = 10.0
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
PROBE_TIMEOUT_MS = 250.0


class Driver:
    """Runs one proxy's decision module."""

    def __init__(
        self, settings: api.Settings, balancer: Balancer, pool: ConnectionPool, loop: Loop, clock: Clock,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.settings, self.balancer, self.pool, self.loop, self.clock = (
            settings, balancer, pool, loop, clock)
        self.discovery: DiscoveryClient | None = None
        self.classes = {c.name: c for c in settings.classes}
        # A report's figures by the settings' names, or by the interface's where they are the same thing.
        self.report_fields = tuple(zip(report_fields, settings.load_report_fields, strict=False))
        self.probe_path = b"/stats" if self.report_fields else b"/health/live"
        self.requests: dict[str, PendingRequest] = {}
        self.open_request_count = 0  # those without a final answer yet
        self.events: deque[tuple[api.Event, PendingRequest | None]] = deque()
        self.scheduled = self.running = False
        self.counts: dict[str, int] = {}

    def start(self, known: api.EndpointsListed) -> None:
        """Start the decision module with the endpoint list known from the last run."""
        self._enqueue(api.Started())
        self._enqueue(known)
        self._process_events()

    # Input: requests, discovery, and the ends of calls.

    def validation_error(self, request: http1.Request) -> str | None:
        """Why the request is invalid for its class; None where it is valid."""
        cls = self.classes.get(request.class_name)
        if cls is None:
            return "unknown class"
        if not request.id:
            return "no id"
        if request.time_left_ms is None:
            return "no time left"
        if request.method != (b"GET" if cls.idempotency is api.Idempotency.REPEATABLE else b"POST"):
            return "a method that is not the class's"
        if request.method == b"GET" and request.body:
            return "a body where none belongs"
        if (cls.idempotency is api.Idempotency.KEYED) != bool(request.idempotency_key):
            return "an idempotency key where none belongs, or none where one does"
        return None

    def at_capacity(self) -> bool:
        """Whether the site's limit on open requests is reached."""
        return 0 < self.settings.limits.max_concurrent_requests <= self.open_request_count

    def accept_request(self, request: http1.Request, caller: Client) -> bool:
        """Accept a valid request; False where its id is already in the table."""
        if request.id in self.requests or request.time_left_ms is None:
            return False
        # Guards against a time left of years: no client of the class waits longer than its deadline.
        longest = self.classes[request.class_name].deadline_ms
        left = max(0.0, min(request.time_left_ms, longest) - ANSWER_MARGIN_MS)
        left -= self.clock.now() - request.received_ms
        pending = PendingRequest(request, caller, self.clock.now() + left)
        self.requests[request.id] = pending
        self.open_request_count += 1
        pending.timer = self.loop.call_later(max(0.0, left) / 1000.0, self._deadline_reached, pending)
        self._enqueue(api.RequestArrived(
            request.id, request.class_name, left, request.account, request.is_retry, request.session_id,
            http1.parse_named_numbers(request.facts).get("isWrite", 0.0) > 0 if request.facts else False,
            request.work_hint_ms,
        ), pending)
        return True

    def client_disconnected(self, request: http1.Request) -> None:
        """End the request of a client that left. Attempts already sent go on, as they do at the backend."""
        pending = self.requests.get(request.id)
        if pending is not None and pending.request is request and not pending.over:
            self._conclude(pending, "gone")
            self._enqueue(api.RequestAbandoned(request.id), pending)

    def handle_discovery_event(self, event: api.EndpointsListed | api.ListExpiryChanged) -> None:
        """Process an event from discovery before all queued ones: a drain applies to each send after it.

        Attempts decided on a list that may not be used any more, and not wholly written yet, are aborted.
        """
        self.events.appendleft((event, None))
        self._process_events()
        if isinstance(event, api.ListExpiryChanged) and event.expires_at_ms <= self.clock.now():
            for pending in list(self.requests.values()):
                self._abort_unsent(pending)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record an attempt's one outcome; the first 200 goes to the client at once."""
        if not attempt.live:
            return
        pending, now = attempt.pending, self.clock.now()
        attempt.live = False
        pending.live_attempts -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        if outcome is api.Outcome.OK and response is not None and not pending.over:
            self._conclude(pending, "served")
            pending.caller.answer(200, response.body, content_type=response.content_type)
        self._count(outcome.value)
        self._enqueue(api.AttemptEnded(
            pending.request.id, attempt.number, outcome, now - attempt.started_ms, pending.over,
            self._load_report(response.load_report) if response is not None else None, attempt.endpoint,
            (now if attempt.written_ms is None else attempt.written_ms) - attempt.started_ms,
        ), pending)

    def probe_ended(self, probe: Probe, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Report the result of a probe to the module."""
        if not probe.live:
            return
        probe.live = False
        if probe.timer is not None:
            probe.timer.cancel()
        report = None
        if response is not None:
            report = self._load_report(response.load_report or response.body)
        self._enqueue(api.ProbeEnded(probe.endpoint, outcome, self.clock.now() - probe.started_ms, report))

    # Timers.

    def _deadline_reached(self, pending: PendingRequest) -> None:
        """Time out the live attempts at the request's deadline; the final answer is due now."""
        early = pending.deadline_at_ms - self.clock.now()
        if early > TIMER_TOLERANCE_MS:
            pending.timer = self.loop.call_later(early / 1000.0, self._deadline_reached, pending)
            return
        for attempt in pending.attempts:
            if attempt is not None and attempt.live:
                self._time_out(attempt)
        self._process_events()
        if not pending.over:
            # Guards against a module that keeps a request past its time, or broke on it.
            self._conclude(pending, "overdue")
            pending.caller.answer(BAD_GATEWAY)
            self._enqueue(api.RequestAbandoned(pending.request.id), pending)

    def _time_out(self, attempt: Attempt) -> None:
        """End an attempt that got no answer in time. Guards against a vanished machine, which never answers.

        If not wholly written by then, it never runs: it had no connection, or the backend did not read.
        """
        if attempt.live:
            outcome = api.Outcome.NOT_SENT if self.pool.has_unwritten_data(attempt) else api.Outcome.TIMEOUT
            self.pool.abort(attempt)
            self.attempt_ended(attempt, outcome, None)

    def _probe_time_out(self, probe: Probe) -> None:
        if probe.live:
            self.pool.abort(probe)
            self.probe_ended(probe, api.Outcome.TIMEOUT, None)

    def _timer_fired(self, at_ms: float, token: str) -> None:
        early = at_ms - self.clock.now()
        if early > 0:
            self.loop.call_later(early / 1000.0, self._timer_fired, at_ms, token)
        else:
            self._enqueue(api.TimerFired(token))

    # Events to the module, and its actions.

    def _enqueue(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        if pending is not None:
            pending.queued_events += 1
        self.events.append((event, pending))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        """Process the queued events one at a time; events caused by the actions are queued behind them."""
        if self.running:
            return
        self.running = True
        while self.events:
            event, pending = self.events.popleft()
            actions = self._decide(event, pending)
            for action in actions:
                try:
                    self._execute(action)
                except Exception as fault:
                    log(f"action failed: {action!r}: {type(fault).__name__}: {fault}")
            if pending is not None:
                pending.queued_events -= 1
                if pending.over and not pending.live_attempts and not pending.queued_events:
                    self._remove(pending)
        self.running = self.scheduled = False

    def _decide(self, event: api.Event, pending: PendingRequest | None) -> list[api.Action]:
        """Get the module's actions on an event; where it raises, end the event's request and return none."""
        try:
            return self.balancer.handle(self.clock.now(), event)
        except Exception as fault:  # one broken decision must not take the others' requests along
            log(f"decision failed on {type(event).__name__}: {type(fault).__name__}: {fault}")
            if pending is not None and not pending.over:
                self._conclude(pending, "broken")
                pending.caller.answer(BAD_GATEWAY)
            if pending is not None and not isinstance(event, api.RequestAbandoned):
                # Nothing of the request stays in the module.
                self._enqueue(api.RequestAbandoned(pending.request.id), pending)
            return []

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            self._give_up(action, SERVICE_UNAVAILABLE, "refused", action.retry_after_ms)
        elif isinstance(action, api.Fail):
            self._give_up(action, BAD_GATEWAY, "failed")
        elif isinstance(action, api.SetTimer):
            delay = max(0.0, action.at_ms - self.clock.now()) / 1000.0
            self.loop.call_later(delay, self._timer_fired, action.at_ms, action.token)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.Probe):
            self._probe(action.endpoint)
        elif isinstance(action, api.WatchEndpoints):
            if self.discovery is not None:
                self.discovery.watch()
        elif isinstance(action, api.FetchEndpoints):
            if self.discovery is not None:
                self.discovery.fetch()
        elif isinstance(action, api.CloseIdleConnections):
            self.pool.close_idle(action.endpoint)
        else:
            log(action.message)

    def _send(self, action: api.Send) -> None:
        pending, now = self.requests.get(action.request), self.clock.now()
        if pending is None:
            self._enqueue(api.AttemptEnded(
                action.request, 0, api.Outcome.NOT_SENT, 0.0, True, None, action.endpoint))
            return
        until = pending.deadline_at_ms
        if action.timeout_ms:
            until = min(until, now + action.timeout_ms)
        if (pending.over or len(pending.attempts) >= self.settings.limits.max_attempts
                or until <= now + TIMER_TOLERANCE_MS or not self.pool.has_endpoint(action.endpoint)):
            # Guards the rules on answers, effects and drains, whatever the module asks for.
            self._enqueue(api.AttemptEnded(
                pending.request.id, len(pending.attempts), api.Outcome.NOT_SENT, 0.0, pending.over, None,
                action.endpoint,
            ), pending)
            pending.attempts.append(None)
            return
        attempt = Attempt(self, pending, action.endpoint, now, until, now + action.send_within_ms)
        pending.attempts.append(attempt)
        pending.live_attempts += 1
        if until < pending.deadline_at_ms - TIMER_TOLERANCE_MS:  # else the request's own timer ends it
            attempt.timer = self.loop.call_later((until - now) / 1000.0, self._time_out, attempt)
        self.pool.start(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        pending = self.requests.get(action.request)
        if pending is None or not 0 <= action.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[action.attempt]
        if attempt is not None and attempt.live:
            self.pool.abort(attempt)
            self.attempt_ended(attempt, api.Outcome.CANCELLED, None)

    def _probe(self, endpoint: str) -> None:
        now = self.clock.now()
        if not self.pool.has_endpoint(endpoint):
            self._enqueue(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0.0))
            return
        probe = Probe(self, endpoint, b"GET %b HTTP/1.1\r\n" % self.probe_path, now, now + PROBE_TIMEOUT_MS)
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000.0, self._probe_time_out, probe)
        self.pool.start(probe)

    def _give_up(
        self, action: api.Refuse | api.Fail, status: int, how: str, retry_after_ms: float = 0.0,
    ) -> None:
        pending = self.requests.get(action.request)
        if pending is not None and not pending.over:
            self._conclude(pending, how)
            self._count(f"{how} {action.reason.value}")
            pending.caller.answer(status, retry_after_ms=retry_after_ms)

    def fail_open_requests(self) -> None:
        """Answer all open requests: the process is about to be killed."""
        for pending in list(self.requests.values()):
            if not pending.over:
                self._conclude(pending, "cut off")
                pending.caller.answer(BAD_GATEWAY)

    # The table.

    def _conclude(self, pending: PendingRequest, how: str) -> None:
        """Mark the request as over. Done in this one place, so that there is exactly one final answer.

        Guards against attempts sent for a request that is over, once their connection has come up.
        """
        pending.over = True
        self.open_request_count -= 1
        self._count(how)
        self._abort_unsent(pending)

    def _abort_unsent(self, pending: PendingRequest) -> None:
        """Abort the attempts that are not wholly written yet."""
        for attempt in pending.attempts:
            if attempt is not None and attempt.live and self.pool.has_unwritten_data(attempt):
                self.pool.abort(attempt)
                self.attempt_ended(attempt, api.Outcome.NOT_SENT, None)

    def _remove(self, pending: PendingRequest) -> None:
        if self.requests.get(pending.request.id) is pending:
            del self.requests[pending.request.id]
        if pending.timer is not None:
            pending.timer.cancel()
        pending.attempts = []  # breaks a cycle: guards against memory that waits for the collector

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _load_report(self, load: bytes | None) -> tuple[float, ...] | None:
        """Parse a load report into the settings' order; None where it is missing, or lacks a figure."""
        if not load or not self.report_fields:
            return None
        figures = http1.parse_named_numbers(load)
        row = [figures.get(told, figures.get(own)) for told, own in self.report_fields]
        return None if None in row else tuple(x for x in row if x is not None)
