"""The driver, which passes events to the balancer one at a time and executes its actions in order.

It owns the timers and the table of requests, and makes no decisions of its own. It uses no sockets: clients,
backends and discovery are behind the interfaces `Client`, `CallTransport` and `EndpointDiscovery`.
"""

from __future__ import annotations

from collections import Counter, deque

from honeywharf import interface as api
from honeywharf.balancer import Balancer
from honeywharf.net import http1
from honeywharf.net.attempts import Attempt, PendingRequest, Probe
from honeywharf.net.calls import CallTransport, Client, EndpointDiscovery
from honeywharf.net.clock import TIMER_TOLERANCE_MS, Clock, Loop
from honeywharf.net.event_log import EventLog
from honeywharf.net.log import log
from honeywharf.policy.replay_guard import ReplayGuard

# The final response is due this long before the client's deadline. The client's time runs from when it sent
# the request, so part of it has passed when the request is read, and a timer may fire late.
FINAL_RESPONSE_MARGIN_MS = 10.0
PROBE_TIMEOUT_MS = 250.0


class Driver:
    """Runs the balancer of one proxy."""

    def __init__(
        self, settings: api.Settings, balancer: Balancer, pool: CallTransport, loop: Loop, clock: Clock,
        configured_report_names: tuple[str, ...] = (),
    ) -> None:
        self.settings, self.balancer, self.pool, self.loop, self.clock = (
            settings, balancer, pool, loop, clock)
        self.discovery: EndpointDiscovery | None = None
        self.classes = {c.name: c for c in settings.classes}
        # The two names that each value of a load report may have: the one in the configuration file, and the
        # one that the settings map it to.
        self.load_report_names = tuple(
            zip(configured_report_names, settings.load_report_fields, strict=False))
        self.probe_path = b"/stats" if self.load_report_names else b"/health/live"
        self.requests: dict[str, PendingRequest] = {}
        self.replay_guard = ReplayGuard()
        self.open_request_count = 0  # requests that are not finished yet
        # The events for the balancer, each with the request that it concerns, if any.
        self.events: deque[tuple[api.Event, PendingRequest | None]] = deque()
        self.processing_scheduled = self.processing = False
        self.counts: Counter[str] = Counter()
        self.event_log = EventLog(clock)

    def start(self, cached_list: api.EndpointsListed) -> None:
        """Start the balancer with the endpoint list that is cached from the last run."""
        self._enqueue(api.Started())
        self._enqueue(cached_list)
        self._process_events()

    # Input: requests, discovery events and the outcomes of calls.

    def validation_error(self, request: http1.Request) -> str | None:
        """Return why the request is invalid for its class, or None if it is valid."""
        request_class = self.classes.get(request.class_name)
        if request_class is None:
            return "unknown class"
        if not request.id:
            return "no request id"
        if request.time_left_ms is None:
            return "no valid remaining time"
        if request.method != (b"GET" if request_class.idempotency is api.Idempotency.REPEATABLE else b"POST"):
            return "the method does not match the class"
        if request.method == b"GET" and request.body:
            return "a GET request has a body"
        if (request_class.idempotency is api.Idempotency.KEYED) != bool(request.idempotency_key):
            return "the idempotency key is missing, or the class does not use one"
        return None

    def at_capacity(self) -> bool:
        """Return whether the number of open requests has reached its limit."""
        return 0 < self.settings.limits.max_concurrent_requests <= self.open_request_count

    def accept_request(self, request: http1.Request, client: Client) -> bool:
        """Accept a valid request, and return True; return False if one with its id is open or may have run.

        An id belongs to one request. If it comes again, after its client has left or on another connection,
        the request must not run a second time.
        """
        if request.id in self.requests or request.time_left_ms is None:
            return False
        if self.replay_guard.may_have_run(request.id, self.clock.now()):
            self.counts["replayed ids"] += 1
            return False
        # No client waits longer than the deadline of its class. Without this bound, the request of a client
        # that claims a remaining time of years would stay in the table for as long.
        max_remaining_ms = self.classes[request.class_name].deadline_ms
        remaining_ms = max(0.0, min(request.time_left_ms, max_remaining_ms) - FINAL_RESPONSE_MARGIN_MS)
        remaining_ms -= self.clock.now() - request.received_ms
        pending = PendingRequest(request, client, self.clock.now() + remaining_ms)
        self.requests[request.id] = pending
        self.open_request_count += 1
        pending.timer = self.loop.call_later(max(0.0, remaining_ms) / 1000.0, self._deadline_reached, pending)
        # The account is the tenant, and the session id is the ordering key.
        self._enqueue(
            api.RequestArrived(
                request.id,
                request.class_name,
                remaining_ms,
                request.account,
                request.is_retry,
                request.session_id,
                http1.parse_named_numbers(request.facts).get("isWrite", 0.0) > 0 if request.facts else False,
                request.work_hint_ms,
            ),
            pending,
        )
        return True

    def client_disconnected(self, request: http1.Request) -> None:
        """Finish the request of a client that has disconnected.

        Attempts that are sent already are not aborted, because the backend executes them anyway.
        """
        pending = self.requests.get(request.id)
        if pending is not None and pending.request is request and not pending.finished:
            self._finish(pending, "gone")
            self._enqueue(api.RequestAbandoned(request.id), pending)

    def handle_discovery_event(self, event: api.EndpointsListed | api.ListExpiryChanged) -> None:
        """Process a discovery event before all queued events, so that later sends respect a backend's drain.

        If the list has expired, attempts for which the balancer chose a backend from it, and which are not
        wholly written yet, are aborted.
        """
        self.events.appendleft((event, None))
        self._process_events()
        if isinstance(event, api.ListExpiryChanged) and event.expires_at_ms <= self.clock.now():
            for pending in list(self.requests.values()):
                self._abort_unwritten_attempts(pending)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Record the outcome of an attempt; the first 200 of a request is sent to the client at once.

        Only the first outcome of an attempt counts.
        """
        if not attempt.active:
            return
        pending, now = attempt.pending_request, self.clock.now()
        attempt.active = False
        pending.active_attempt_count -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        if outcome is api.Outcome.OK and response is not None and not pending.finished:
            self._finish(pending, "served")
            pending.client.send_response(200, response.body, content_type=response.content_type)
        self.counts[outcome.value] += 1
        if outcome not in api.NOT_EXECUTED_OUTCOMES:
            self.replay_guard.record(pending.request.id, now)
        self._enqueue(api.AttemptEnded(
            pending.request.id, attempt.number, outcome, now - attempt.started_ms, pending.finished,
            self._parse_load_report(response.load_report) if response is not None else None, attempt.endpoint,
            (now if attempt.written_ms is None else attempt.written_ms) - attempt.started_ms,
        ), pending)

    def probe_ended(self, probe: Probe, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Report the outcome of a probe to the balancer. Only the first outcome of a probe counts."""
        if not probe.active:
            return
        probe.active = False
        if probe.timer is not None:
            probe.timer.cancel()
        report = None
        if response is not None:
            report = self._parse_load_report(response.load_report or response.body)
        self._enqueue(api.ProbeEnded(probe.endpoint, outcome, self.clock.now() - probe.started_ms, report))

    # Timers.

    def _deadline_reached(self, pending: PendingRequest) -> None:
        """Time out the active attempts at the request's deadline, when the final response is due."""
        early_ms = pending.deadline_at_ms - self.clock.now()
        if early_ms > TIMER_TOLERANCE_MS:
            pending.timer = self.loop.call_later(early_ms / 1000.0, self._deadline_reached, pending)
            return
        for attempt in pending.attempts:
            if attempt is not None and attempt.active:
                self._time_out_attempt(attempt)
        self._process_events()
        if not pending.finished:
            # The balancer has kept the request past its deadline, or raised an exception on it.
            self._finish(pending, "overdue")
            self.event_log.write(
                "request overdue:", request=pending.request.id, attempts=len(pending.attempts))
            pending.client.send_response(http1.BAD_GATEWAY)
            self._enqueue(api.RequestAbandoned(pending.request.id), pending)

    def _time_out_attempt(self, attempt: Attempt) -> None:
        """End an attempt that has reached its timeout; if its host is unreachable, nothing else ends it.

        An attempt that is not wholly written by then is not executed: either it had no connection, or the
        backend did not read the request.
        """
        if attempt.active:
            outcome = api.Outcome.NOT_SENT if self.pool.has_unwritten_data(attempt) else api.Outcome.TIMEOUT
            self.pool.abort(attempt)
            self.attempt_ended(attempt, outcome, None)

    def _time_out_probe(self, probe: Probe) -> None:
        if probe.active:
            self.pool.abort(probe)
            self.probe_ended(probe, api.Outcome.TIMEOUT, None)

    def _timer_fired(self, at_ms: float, token: str) -> None:
        """Report a timer to the balancer, but never before its time."""
        early_ms = at_ms - self.clock.now()
        if early_ms > 0:
            self.loop.call_later(early_ms / 1000.0, self._timer_fired, at_ms, token)
        else:
            self._enqueue(api.TimerFired(token))

    # Events for the balancer, and its actions.

    def _enqueue(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        if pending is not None:
            pending.queued_event_count += 1
        self.events.append((event, pending))
        if not self.processing_scheduled:
            self.processing_scheduled = True
            self.loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        """Process the queued events one at a time; the actions may append further events."""
        if self.processing:
            return
        self.processing = True
        while self.events:
            event, pending = self.events.popleft()
            actions = self._decide(event, pending)
            for action in actions:
                try:
                    self._execute(action)
                except Exception as fault:
                    log(f"action failed: {action!r}: {type(fault).__name__}: {fault}")
            if pending is not None:
                pending.queued_event_count -= 1
                if pending.finished and not pending.active_attempt_count and not pending.queued_event_count:
                    self._remove_request(pending)
        self.processing = self.processing_scheduled = False

    def _decide(self, event: api.Event, pending: PendingRequest | None) -> list[api.Action]:
        """Return the balancer's actions for an event; if it raises, finish the event's request instead."""
        try:
            return self.balancer.handle(self.clock.now(), event)
        except Exception as fault:  # a fault in one decision must not affect other requests
            log(f"balancer failed on event {type(event).__name__}: {type(fault).__name__}: {fault}")
            if pending is not None and not pending.finished:
                self._finish(pending, "broken")
                pending.client.send_response(http1.BAD_GATEWAY)
            if pending is not None and not isinstance(event, api.RequestAbandoned):
                # The balancer must not keep any state of the request.
                self._enqueue(api.RequestAbandoned(pending.request.id), pending)
            return []

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._start_attempt(action)
        elif isinstance(action, api.Refuse):
            self._send_error_response(action, http1.SERVICE_UNAVAILABLE, "refused", action.retry_after_ms)
        elif isinstance(action, api.Fail):
            self._send_error_response(action, http1.BAD_GATEWAY, "failed")
        elif isinstance(action, api.SetTimer):
            delay_s = max(0.0, action.at_ms - self.clock.now()) / 1000.0
            self.loop.call_later(delay_s, self._timer_fired, action.at_ms, action.token)
        elif isinstance(action, api.Cancel):
            self._cancel_attempt(action)
        elif isinstance(action, api.Probe):
            self._start_probe(action.endpoint)
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

    def _start_attempt(self, action: api.Send) -> None:
        """Start the next attempt of a request, or report it as not sent if it must not be started."""
        pending, now = self.requests.get(action.request), self.clock.now()
        if pending is None:
            self._enqueue(api.AttemptEnded(
                action.request, 0, api.Outcome.NOT_SENT, 0.0, True, None, action.endpoint))
            return
        attempt_deadline_at_ms = pending.deadline_at_ms
        if action.timeout_ms:
            attempt_deadline_at_ms = min(attempt_deadline_at_ms, now + action.timeout_ms)
        if (pending.finished or len(pending.attempts) >= self.settings.limits.max_attempts
                or attempt_deadline_at_ms <= now + TIMER_TOLERANCE_MS
                or not self.pool.has_endpoint(action.endpoint)):
            # The request is finished, has reached the attempt limit or has no time left, or the endpoint is
            # not in the current list. The driver checks this itself. Otherwise a faulty balancer could cause
            # attempts after the final response, more repeated executions than the limit allows, or calls to
            # removed backends.
            self._enqueue(api.AttemptEnded(
                pending.request.id, len(pending.attempts), api.Outcome.NOT_SENT, 0.0, pending.finished, None,
                action.endpoint,
            ), pending)
            pending.attempts.append(None)
            return
        attempt = Attempt(
            self, pending, action.endpoint, now, attempt_deadline_at_ms, now + action.send_within_ms)
        pending.attempts.append(attempt)
        if attempt.number:
            self.event_log.write(
                "request retried:", request=pending.request.id, attempt=attempt.number,
                endpoint=action.endpoint, left_ms=pending.deadline_at_ms - now)
        pending.active_attempt_count += 1
        if attempt_deadline_at_ms < pending.deadline_at_ms - TIMER_TOLERANCE_MS:
            # Otherwise the request's timer ends the attempt.
            attempt.timer = self.loop.call_later(
                (attempt_deadline_at_ms - now) / 1000.0, self._time_out_attempt, attempt)
        self.pool.start(attempt)

    def _cancel_attempt(self, action: api.Cancel) -> None:
        pending = self.requests.get(action.request)
        if pending is None or not 0 <= action.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[action.attempt]
        if attempt is not None and attempt.active:
            self.pool.abort(attempt)
            self.attempt_ended(attempt, api.Outcome.CANCELLED, None)

    def _start_probe(self, endpoint: str) -> None:
        now = self.clock.now()
        if not self.pool.has_endpoint(endpoint):
            self._enqueue(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0.0))
            return
        probe = Probe(self, endpoint, b"GET %b HTTP/1.1\r\n" % self.probe_path, now, now + PROBE_TIMEOUT_MS)
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000.0, self._time_out_probe, probe)
        self.pool.start(probe)

    def _send_error_response(
        self, action: api.Refuse | api.Fail, status: int, counter: str, retry_after_ms: float = 0.0,
    ) -> None:
        """Send the error response to a request that the balancer refuses or fails, and count the reason."""
        pending = self.requests.get(action.request)
        if pending is not None and not pending.finished:
            self._finish(pending, counter)
            self.counts[f"{counter} {action.reason.value}"] += 1
            self.event_log.write(
                f"request {counter}:", request=pending.request.id, reason=action.reason.value,
                attempts=len(pending.attempts), left_ms=pending.deadline_at_ms - self.clock.now())
            pending.client.send_response(status, retry_after_ms=retry_after_ms)

    def fail_open_requests(self) -> None:
        """Send error responses to all open requests, because the process is about to exit."""
        for pending in list(self.requests.values()):
            if not pending.finished:
                self._finish(pending, "cut off")
                pending.client.send_response(http1.BAD_GATEWAY)

    # The table of requests.

    def _finish(self, pending: PendingRequest, counter: str) -> None:
        """Mark the request as finished and increment a counter.

        Requests are finished in this one place, so that each gets at most one final response. Attempts that
        are not wholly written yet are aborted; otherwise they would be sent once their connection is
        established. The others go on without the message, which is not needed any more.
        """
        pending.finished = True
        self.open_request_count -= 1
        self.counts[counter] += 1
        self._abort_unwritten_attempts(pending)
        pending.release_message()

    def _abort_unwritten_attempts(self, pending: PendingRequest) -> None:
        """Abort the attempts of the request that are not wholly written yet."""
        for attempt in pending.attempts:
            if attempt is not None and attempt.active and self.pool.has_unwritten_data(attempt):
                self.pool.abort(attempt)
                self.attempt_ended(attempt, api.Outcome.NOT_SENT, None)

    def _remove_request(self, pending: PendingRequest) -> None:
        if self.requests.get(pending.request.id) is pending:
            del self.requests[pending.request.id]
        if pending.timer is not None:
            pending.timer.cancel()
        # Attempts refer to their request; clearing the list breaks the cycle, so that the memory is freed now
        # and not by the garbage collector.
        pending.attempts = []

    def _parse_load_report(self, load: bytes | None) -> tuple[float, ...] | None:
        """Return the values of a load report in the order of the settings, or None if one is missing."""
        if not load or not self.load_report_names:
            return None
        reported = http1.parse_named_numbers(load)
        values = [
            reported.get(configured_name, reported.get(mapped_name))
            for configured_name, mapped_name in self.load_report_names
        ]
        return None if None in values else tuple(value for value in values if value is not None)
