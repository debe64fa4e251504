"""The balancer: events in, actions out. honeywharf/interface.py defines the types of both.

A call goes to a random usable server of the local zone, or of any zone if the local zone has no usable server
with capacity. All servers get an equal share of the calls, except those that warm up or are slow, which get a
smaller one. The modules of honeywharf/policy/ decide which servers are usable: host_set.py keeps the listed
servers, outlier.py ejects failing ones, and concurrency.py limits the calls in flight. This module handles
the events in order, chooses a server for each attempt, and decides how a request goes on when an attempt
fails. Its sections are the endpoint list, the choice of a server, and requests.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque

from honeywharf import interface as api
from honeywharf.policy.concurrency import WORTH_EXPONENT, ZoneLimiter
from honeywharf.policy.host_set import HostSet
from honeywharf.policy.outlier import OutlierDetector
from honeywharf.policy.quota import TenantQuota
from honeywharf.policy.request import Attempt, KeyQueue, Request
from honeywharf.policy.server import Server

# Random picks from one priority level before the balancer goes on to the next level. If half of the servers
# of a level can get the request, 8 picks find one of them 255 times in 256.
MAX_PICKS_PER_LEVEL = 8
# The maximum backoff after a failed watch is this time multiplied by the number of balancers. Discovery needs
# about this time to serve one balancer, so it can serve all of them within the maximum backoff. A longer
# backoff could by itself let the list expire.
MAX_WATCH_BACKOFF_PER_BALANCER_MS = 50.0
# The maximum backoff is at least this long, however few balancers there are.
MAX_WATCH_BACKOFF_FLOOR_MS = 500.0
# Retry tokens that each request adds to the retry budget, so that retries add at most a tenth to the load
# when every attempt fails.
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 5.0  # so that a balancer with little traffic can retry a few requests at once
# The retry of a rejected attempt costs less than a whole token: a rejection causes little load, while giving
# up wastes the work that the downstream tiers have done.
REJECTED_RETRY_TOKENS = 0.25
#: Outcomes of attempts that are taken to have caused no load. A retry after them costs no retry token, and
#: they leave the concurrency limit of the zone unchanged. The outlier detection judges them by rules of its
#: own.
NO_LOAD_OUTCOMES = frozenset({
    api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_TIMEOUT, api.Outcome.NOT_SENT, api.Outcome.CANCELLED})
# Range of the delay after which a refused client may retry: responses take about that long under overload.
RETRY_AFTER_RANGE_MS = (200.0, 600.0)
# The target latency of a response, as a fraction of its class's aim. A zone whose responses take longer
# counts as overloaded. The rest of the aim is a margin for random variation.
LATENCY_TARGET_FRACTION = 0.5
# The fraction of a concurrency limit that is open to tenants over their quota. The rest is kept for the
# others.
OVER_QUOTA_LIMIT_FRACTION = 0.25


class Balancer:
    """Makes all decisions of one balancer.

    It has no clock and does no I/O: time and events come from the embedding program.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.host_set = HostSet(settings, self.random)
        self.outliers = OutlierDetector(self.host_set, self.random)
        self.requests: dict[str, Request] = {}
        self.key_queues: dict[str, KeyQueue] = {}  # by ordering key; all ordered classes share them
        # The end of each cooldown and its ordering key. The deque is sorted by time, because all cooldowns
        # are equally long.
        self.key_cooldowns: deque[tuple[float, str]] = deque()
        self.ready_keys: deque[str] = deque()  # ordering keys whose first request may be sent now
        self.queued_deadlines: list[tuple[float, str]] = []  # a heap of deadlines and ids of queued requests
        self.tenants = {t.name: t for t in settings.tenants}
        self.tenant_quotas: dict[str, TenantQuota] = {}
        # The running mean of the worth of the requests. It starts at the greatest worth of all classes.
        self.mean_worth = max(c.worth for c in settings.classes) or 1.0
        self.retry_tokens = MAX_RETRY_TOKENS
        self.failed_watches, self.now_ms = 0, 0.0
        self.list_expires_at_ms = math.inf  # nothing is sent on the current list from then on
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle one event and return the actions to carry out, in order; `now_ms` must never decrease."""
        self.now_ms, self.actions = now_ms, []
        if isinstance(event, api.RequestArrived):
            self._on_request_arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, api.EndpointsListed):
            self._on_endpoints_listed(event)
        elif isinstance(event, api.ListExpiryChanged):
            self.list_expires_at_ms = event.expires_at_ms
        elif isinstance(event, api.RequestAbandoned):
            if event.request in self.requests:
                self._finish(self.requests[event.request])
        elif isinstance(event, api.Started):
            # The first polls of balancers that start together are spread over a tenth of the poll interval.
            self._schedule_watch(self.settings.rules.poll_interval_ms / 10)
        elif isinstance(event, api.TimerFired):
            self._on_timer(event.token)
        elif isinstance(event, api.ResponseStarted) and event.request in self.requests:
            self.requests[event.request].is_done = True  # the stream is the final response
        while self.ready_keys:
            self._dispatch_next(self.ready_keys.popleft())
        return self.actions

    def summary(self) -> str:
        """Describe each zone for the log, in a text whose length does not depend on the number of servers."""
        # The number of usable servers follows from `ejection_margin`, which is 3 * usable - 2 * ready. The
        # log has the latency ratio as `lateness`.
        return " ".join(
            f"{name or '-'}[usable={(z.ejection_margin + 2 * z.ready_servers) // 3}/{z.ready_servers} "
            f"calls={z.in_flight} limit={z.limit * z.capacity:.1f} lateness={z.latency_ratio:.2f}]"
            for name, z in sorted(self.host_set.zones.items()))

    def _on_timer(self, token: str) -> None:
        if token == "watch":
            self.actions.append(api.WatchEndpoints())
        elif token == "turn":  # the cooldown of an ordering key is over
            while self.key_cooldowns and self.key_cooldowns[0][0] <= self.now_ms:
                self.ready_keys.append(self.key_cooldowns.popleft()[1])
        elif token == "wait":  # the deadline of a queued request has passed
            while self.queued_deadlines and self.queued_deadlines[0][0] <= self.now_ms:
                request = self.requests.get(heapq.heappop(self.queued_deadlines)[1])
                if request is not None and not request.attempts and not request.is_done:
                    self._give_up(request, api.GiveUpReason.NO_TIME)

    # The endpoint list.

    def _schedule_watch(self, max_delay_ms: float) -> None:
        """Set a timer to watch the list. Its delay is random, so that balancers don't all poll at once."""
        if self.settings.polled_discovery:
            self.actions.append(api.SetTimer(self.now_ms + self.random.uniform(0.0, max_delay_ms), "watch"))

    def _on_endpoints_listed(self, event: api.EndpointsListed) -> None:
        if event.kind is api.ListKind.FAILED:
            self.failed_watches += 1
            interval_ms = self.settings.rules.poll_interval_ms
            limit_ms = max(
                MAX_WATCH_BACKOFF_FLOOR_MS, MAX_WATCH_BACKOFF_PER_BALANCER_MS * self.settings.balancer_count)
            # The longest delay starts at a fifth of the poll interval and doubles with each consecutive
            # failure, up to the interval or the limit.
            self._schedule_watch(min(interval_ms, limit_ms, interval_ms / 10 * 2 ** self.failed_watches))
            return
        self.failed_watches, self.list_expires_at_ms = 0, event.expires_at_ms
        self.host_set.update(event, self.now_ms)

    def _is_list_expired(self) -> bool:
        """Whether the current list has expired. The clock decides, because a timer might fire late."""
        return self.now_ms >= self.list_expires_at_ms

    # The choice of a server.

    def _choose_server(self, request: Request) -> Server | None:
        """Choose a random server from the first priority level in which a few picks find a suitable one."""
        self.host_set.refresh_if_due(self.now_ms)
        if self._is_list_expired():
            # The list may be stale: any listed server may have begun to drain or be gone. That a server
            # responds proves nothing, because draining servers accept calls too.
            return None
        local_zone, random_fraction = self.host_set.zones.get(self.settings.zone), self.random.random()
        for priority, level in enumerate(self.host_set.priority_levels):
            local_zone_at_limit = (
                local_zone is not None and not local_zone.admits(request.limit_share, random_fraction))
            # In other tiers than the first, the balancer sends the call even if the zone is at its
            # concurrency limit: a refusal would only cause a retry in the downstream tier.
            if priority == 0 and local_zone_at_limit and self.settings.tier == 0:
                continue
            server = self._pick_from_level(level, priority, request, random_fraction)
            if server is not None:
                return server
        return None

    def _pick_from_level(
        self, level: list[Server], priority: int, request: Request, random_fraction: float,
    ) -> Server | None:
        """Pick random servers of a level, a few at most, until one may get the request and has capacity.

        `priority` is the index of the level. Level 2 is the last resort: it holds the same servers as level
        1, but they need not pass `_is_healthy_for`, and in tiers other than the first they may exceed their
        concurrency limits.
        """
        if request.first_attempt_that_may_have_run() is not None:  # only some servers may be safe for a retry
            level = [s for s in level if request.may_send_to(s.endpoint, self.now_ms)]
        last_server = request.attempts[-1].server if request.attempts else None
        # Other tiers check no zone limit here, and no server limit at level 2.
        sheds_load = self.settings.tier == 0
        for _ in range(MAX_PICKS_PER_LEVEL if level else 0):
            server = level[int(self.random.random() * len(level))]
            if (server is last_server and len(level) > 1) or (
                    server.warming_up and self.now_ms < server.next_warm_up_call_ms):
                continue
            zone = self.host_set.zones[server.endpoint.zone]
            if priority > 0 and sheds_load and not zone.admits(request.limit_share, random_fraction):
                continue
            if (priority < 2 or sheds_load) and not zone.admits(request.limit_share, random_fraction, server):
                continue
            if priority < 2 and not self._is_healthy_for(server, request):
                continue
            if server.traffic_fraction >= 1.0 or self.random.random() < server.traffic_fraction:
                return server
        return None

    def _is_healthy_for(self, server: Server, request: Request) -> bool:
        """Whether the server's ejections allow it to get the request.

        After an ejection the server is half-open: it gets one trial call at a time, and no request that may
        run only once. A server that is ejected for one class gets no calls of that class.
        """
        if server.consecutive_ejections and (
            server.active_calls or request.request_class.idempotency is api.Idempotency.ONCE
        ):
            return False
        ejected_until = server.class_ejected_until_ms
        return not ejected_until or ejected_until.get(request.request_class.name, 0.0) <= self.now_ms

    # Requests.

    def _on_request_arrived(self, event: api.RequestArrived) -> None:
        request_class = self.classes.get(event.class_name)
        if request_class is None:
            self.actions.append(api.Fail(event.id, api.GiveUpReason.UNKNOWN_CLASS))
            return
        key = event.key if request_class.ordered_by_key else ""
        request = Request(event.id, request_class, key, self.now_ms + event.remaining_ms, request_class.worth)
        self.requests[event.id] = request
        self._set_admission(request, event.tenant)
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        if request.key:
            self._enqueue(request)
        else:
            self._start_attempt(request)

    def _enqueue(self, request: Request) -> None:
        """Queue the request behind others with its ordering key, and send it now if it is the first."""
        queue = self.key_queues.setdefault(request.key, KeyQueue())
        queue.queued_requests.append(request)
        if queue.queued_requests[0] is request and queue.cooldown_until_ms <= self.now_ms:
            self._start_attempt(request)
        else:
            heapq.heappush(self.queued_deadlines, (request.deadline_at_ms, request.id))
            self.actions.append(api.SetTimer(request.deadline_at_ms, "wait"))

    def _dispatch_next(self, key: str) -> None:
        """Send the first queued request of an ordering key, unless it is sent or the key is in cooldown."""
        queue = self.key_queues.get(key)
        if queue is None or queue.cooldown_until_ms > self.now_ms:
            return  # a timer ends the cooldown and dispatches the key again
        if not queue.queued_requests:
            del self.key_queues[key]
        elif not queue.queued_requests[0].attempts:
            self._start_attempt(queue.queued_requests[0])

    def _set_admission(self, request: Request, tenant: str) -> None:
        """Set the worth of the request, and the fraction of a zone's concurrency limit that is open to it."""
        request.limit_share = min(1.0, (request.worth / self.mean_worth) ** WORTH_EXPONENT)
        quota = self.tenant_quotas.get(tenant)
        if quota is None and tenant in self.tenants:
            local_quota_per_s = self.tenants[tenant].quota_per_s / self.settings.balancer_count
            # The token bucket holds one second of the quota.
            quota = self.tenant_quotas[tenant] = TenantQuota(
                local_quota_per_s / 1000.0, local_quota_per_s, self.now_ms)
        if quota is not None and not quota.try_take(self.now_ms):
            request.worth *= self.settings.over_quota_worth_factor
            request.limit_share *= OVER_QUOTA_LIMIT_FRACTION
        self.mean_worth += (request.worth - self.mean_worth) / 100.0

    def _start_attempt(self, request: Request) -> None:
        """Send the request's next attempt, or give up if no server can get it."""
        if request.deadline_at_ms <= self.now_ms:
            self._give_up(request, api.GiveUpReason.NO_TIME)
            return
        server = self._choose_server(request)
        if server is not None:
            self._send(request, server)
        elif self._is_list_expired():
            self._give_up(request, api.GiveUpReason.LIST_EXPIRED)
        else:
            self._give_up(request, api.GiveUpReason.NO_SERVER)

    def _send(self, request: Request, server: Server) -> None:
        zone = self.host_set.zones[server.endpoint.zone]
        send_within_ms = min(request.retry_safe_until_ms(), self.list_expires_at_ms) - self.now_ms
        attempt = Attempt(request.id, server, zone, self.now_ms, self.now_ms, server.ejections)
        request.attempts.append(attempt)
        server.active_calls[attempt] = None
        zone.in_flight += 1
        if server.warming_up:
            self.host_set.set_next_warm_up_call_time(server, 0.5, 1.5, self.now_ms)
        self.actions.append(api.Send(
            request.id, server.endpoint.id, request.deadline_at_ms - self.now_ms, send_within_ms))

    def _give_up(self, request: Request, reason: api.GiveUpReason) -> None:
        if request.may_refuse():
            limits, retry_after_ms = self.settings.limits, 0.0
            if limits.retry_after:  # random, so that clients refused together do not retry together
                retry_after_ms = min(limits.max_retry_after_ms, self.random.uniform(*RETRY_AFTER_RANGE_MS))
            self.actions.append(api.Refuse(request.id, retry_after_ms, reason))
        else:
            self.actions.append(api.Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """Mark the request as done, and remove it once none of its attempts is in flight."""
        request.is_done = True
        if any(a.active for a in request.attempts) or self.requests.pop(request.id, None) is None:
            return
        if request.key:
            self.key_queues[request.key].queued_requests.remove(request)
            self.ready_keys.append(request.key)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.active:
            return
        attempt.active, attempt.may_have_run = False, event.outcome not in api.NOT_EXECUTED_OUTCOMES
        attempt.written_ms = attempt.sent_ms + event.time_to_send_ms
        attempt.server.active_calls.pop(attempt, None)
        attempt.release()
        # The outcome does not affect the limit or the outlier detection if the server was ejected, or the
        # call was found to be hung, after the call was sent: the server has been judged already.
        if attempt.ejections == attempt.server.ejections and not attempt.is_hung:
            self._update_zone_limit(attempt.zone, request, event)
            self.outliers.record(attempt.server, request, event, self.now_ms)
        if request.key and event.outcome in api.MAYBE_RUNNING_OUTCOMES:
            # The endpoint may still be executing the request. The next request with this ordering key waits,
            # to keep the order.
            self.key_queues[request.key].cooldown_until_ms = self.now_ms + self.settings.rules.key_cooldown_ms
            self.key_cooldowns.append((self.key_queues[request.key].cooldown_until_ms, request.key))
            self.actions.append(api.SetTimer(self.key_cooldowns[-1][0], "turn"))
        if event.request_finished or request.is_done:
            self._finish(request)
        elif not any(a.active for a in request.attempts):
            self._retry(request, event.outcome)
        else:
            # Another attempt is in flight. The balancer waits for it, because it may still succeed unless it
            # hangs.
            self._hedge_if_all_hung(request)
        if event.outcome is api.Outcome.OK and not attempt.is_hung:
            self._detect_hung_calls(attempt, request.request_class)

    def _update_zone_limit(self, zone: ZoneLimiter, request: Request, event: api.AttemptEnded) -> None:
        """Adapt the concurrency limit of the zone to the latency of an attempt."""
        request_class = request.request_class
        # The target is a fraction of the aim and not derived from the shortest latencies seen, because those
        # are far below the usual ones. A rejection counts as the greatest latency ratio.
        rejected = event.outcome is api.Outcome.REJECTED
        latency_ratio = (
            3.0 if rejected else event.response_time_ms / (LATENCY_TARGET_FRACTION * request_class.aim_ms))
        # A success always counts. Another outcome counts only if it took longer than the target, because an
        # early failure (a refused connection, an error, a short deadline) is no sign of spare capacity.
        if event.outcome is api.Outcome.OK or (event.outcome not in NO_LOAD_OUTCOMES and latency_ratio > 1.0):
            zone.adapt_limit(latency_ratio, self.now_ms)

    def _retry(self, request: Request, outcome: api.Outcome) -> None:
        """Retry the request if the limit on attempts and the retry budget allow it, otherwise give up."""
        cost = (
            REJECTED_RETRY_TOKENS if outcome is api.Outcome.REJECTED
            else 0.0 if outcome in NO_LOAD_OUTCOMES else 1.0)
        if len(request.attempts) >= self.settings.limits.max_attempts:
            self._give_up(request, api.GiveUpReason.NO_ATTEMPT_LEFT)
        elif self.retry_tokens < cost:
            self._give_up(request, api.GiveUpReason.NO_RETRY_BUDGET)
        else:
            self.retry_tokens -= cost
            self._start_attempt(request)

    def _detect_hung_calls(self, completed: Attempt, request_class: api.RequestClass) -> None:
        """Find the hung calls of a server that has just completed a later call in the usual time.

        A hung call takes far longer than usual, because it was lost on the way or forgotten by the server. If
        it were not detected, it would count against the limit of its zone until its timeout, so that calls
        are refused although servers are idle, and its request would fail. If the work differs much within a
        class, long calls may be taken for hung ones and run twice.
        """
        latency = self.outliers.latency
        if (self.now_ms - completed.sent_ms > latency.slow_threshold_ms(request_class.name)
                or not latency.has_enough_samples(request_class.name)):
            return
        hung = []
        for call in completed.server.active_calls:
            request = self.requests.get(call.request)
            if request is None or call.sent_ms >= completed.sent_ms:
                break
            if self.now_ms - call.sent_ms > latency.hung_threshold_ms(request.request_class.name):
                hung.append((call, request))
        for call, request in hung:
            call.is_hung = True
            del call.server.active_calls[call]
            call.release()
            if call.ejections == call.server.ejections:
                self.outliers.record_hung_call(call.server, self.now_ms)
            self._hedge_if_all_hung(request)

    def _hedge_if_all_hung(self, request: Request) -> None:
        """Send a hedged request, a further concurrent attempt, if all active calls of the request hang.

        It is sent only if the request's class, the limit on attempts and the retry budget allow it.
        """
        request_class, limits = request.request_class, self.settings.limits
        if (request.is_done or not limits.concurrent_attempts
                or request_class.ordered_by_key or request_class.stream
                or len(request.attempts) >= limits.max_attempts or self.retry_tokens < 1.0
                or any(a.active and not a.is_hung for a in request.attempts)
                or request.deadline_at_ms <= self.now_ms):
            return
        server = self._choose_server(request)
        if server is not None:
            self.retry_tokens -= 1.0
            self._send(request, server)
