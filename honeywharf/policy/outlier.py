"""Outlier detection: finds the servers that fail or respond too slowly, and ejects them for a limited time.

A relative latency is a latency divided by the expected latency of its request class.
"""

from __future__ import annotations

import random

from honeywharf import interface as api
from honeywharf.policy.host_set import HostSet
from honeywharf.policy.request import Request
from honeywharf.policy.server import Server, without

# This many consecutive failures make a server an outlier. A refused connection counts as two, because a
# process that is dead refuses the next connection too.
CONSECUTIVE_FAILURES_TO_EJECT = 4
# The relative latency that leaves the anomaly score of a server unchanged. A slower response raises the score
# by the difference, a faster one lowers it.
SLOW_RELATIVE_LATENCY = 1.7
# The most that one call, even a failed one, adds to the anomaly score, so that no server is judged by a
# single call.
MAX_SCORE_STEP = 3.0
# The anomaly score that makes a server an outlier. A healthy server reaches it by chance about once in a few
# hundred calls.
EJECTION_SCORE = 6.0
FAILURE_RATE_WINDOW_CALLS = 6  # number of calls that a server's failure rate averages over
# The failure rate of a server is an outlier if it exceeds twice the mean rate of the other servers by this
# much.
OUTLIER_FAILURE_RATE_MARGIN = 0.25
BASE_EJECTION_MS = 2500.0  # the first ejection: an overloaded server works off its queue within this time
MAX_EJECTION_DOUBLINGS = 2  # consecutive ejections last up to four times as long as the first
EJECTION_JITTER = (0.75, 1.25)  # bounds of the random factor of each duration
OVERLOAD_EJECTION_MS = 1000.0  # after a rejection: an overloaded server needs this long to shorten its queue
RELATIVE_LATENCY_WINDOW_RESPONSES = 6  # number of responses that a server's mean covers
# How long a server gets no calls of a class whose calls have timed out or failed there. This is long because
# each trial call may make a request fail.
CLASS_EJECTION_MS = 10000.0
# From this many consecutive errors on, a server can be ejected for one class. A single error may be chance,
# or come from a tier upstream of the server.
CONSECUTIVE_CLASS_ERRORS_TO_EJECT = 2
# The relative latency beyond which a call is considered hung. About one response in a few hundred is that
# late by chance.
HUNG_RELATIVE_LATENCY = 3.0
BASELINE_WINDOW_RESPONSES = 30  # number of responses that the mean latency of a class covers


class LatencyBaseline:
    """The expected latency of each request class: a running mean over the responses of all servers."""

    def __init__(self) -> None:
        self.expected_ms: dict[str, float] = {}
        self.samples: dict[str, int] = {}  # responses in each mean, at most the window

    def add(self, class_name: str, latency_ms: float) -> None:
        """Add the latency of one response to the mean of its class."""
        samples = self.samples[class_name] = min(
            BASELINE_WINDOW_RESPONSES, self.samples.get(class_name, 0) + 1)
        mean_ms = self.expected_ms.get(class_name, latency_ms)
        self.expected_ms[class_name] = mean_ms + (latency_ms - mean_ms) / samples

    def slow_threshold_ms(self, class_name: str) -> float:
        """Return the latency beyond which a response is slow; 0 before the first response of the class."""
        return SLOW_RELATIVE_LATENCY * self.expected_ms.get(class_name, 0.0)

    def has_enough_samples(self, class_name: str) -> bool:
        """Return whether the mean covers enough responses to tell hung calls from slow ones."""
        return self.samples.get(class_name, 0) >= BASELINE_WINDOW_RESPONSES

    def hung_threshold_ms(self, class_name: str) -> float:
        """Return the age beyond which a call is hung; infinite before the first response of the class."""
        return HUNG_RELATIVE_LATENCY * self.expected_ms.get(class_name, float("inf"))


class OutlierDetector:
    """Tracks the health of each server by the outcomes of its calls, and ejects the outliers."""

    def __init__(self, host_set: HostSet, rng: random.Random) -> None:
        self.host_set = host_set
        self.random = rng
        self.latency = LatencyBaseline()

    def record(self, server: Server, request: Request, event: api.AttemptEnded, now_ms: float) -> None:
        """Record how an attempt ended, and eject the server if its recent calls make it an outlier."""
        outcome = event.outcome
        if outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT):
            return
        if self._had_short_deadline(request, event):
            return
        if outcome is api.Outcome.REJECTED:
            self._record_failure(server, request.request_class.name, outcome, now_ms)
            # Without an ejection, an overloaded server would be sent a new call whenever it finishes one, and
            # would stay overloaded.
            if server.ejected_until_ms <= now_ms and self.host_set.can_eject(server):
                self.eject(server, OVERLOAD_EJECTION_MS, now_ms)
            return
        self._update_failure_rate(server, failed=outcome is not api.Outcome.OK)
        score_step = MAX_SCORE_STEP
        if outcome is api.Outcome.OK:
            score_step = self._record_success(server, request.request_class.name, event.response_time_ms)
        else:
            self._record_failure(server, request.request_class.name, outcome, now_ms)
        self._add_score(server, score_step, now_ms, connect_failed=outcome is api.Outcome.CONNECT_FAILED)

    def record_hung_call(self, server: Server, now_ms: float) -> None:
        """Record that a call at the server is hung: a later call was completed in the usual time."""
        self._add_score(server, MAX_SCORE_STEP, now_ms)

    def eject(self, server: Server, base_ms: float, now_ms: float) -> None:
        """Eject the server for a time that doubles with each consecutive ejection, up to a limit.

        Afterwards the balancer sends it trial calls, one at a time, until a call succeeds that is not slow.
        """
        backoff = 2 ** min(server.consecutive_ejections, MAX_EJECTION_DOUBLINGS)
        server.ejected_until_ms = now_ms + base_ms * backoff * self.random.uniform(*EJECTION_JITTER)
        server.ejections += 1
        # Otherwise calls in flight at an ejected server would use up the concurrency limit of its zone.
        for call in server.active_calls:
            call.release()
        server.anomaly_score = EJECTION_SCORE / 2
        server.consecutive_ejections += 1
        self.host_set.refresh(now_ms)

    def _update_failure_rate(self, server: Server, *, failed: bool) -> None:
        sample = 1.0 if failed else 0.0
        rate = sample if server.failure_rate is None else server.failure_rate
        server.failure_rate = rate + (sample - rate) / FAILURE_RATE_WINDOW_CALLS

    def _record_success(self, server: Server, class_name: str, latency_ms: float) -> float:
        """Record a response and return its step of the anomaly score, which is negative if it was fast."""
        mean_ms = self.latency.expected_ms.get(class_name, latency_ms)
        relative = min(latency_ms / max(mean_ms, 1.0), MAX_SCORE_STEP + SLOW_RELATIVE_LATENCY)
        server.relative_latency += (relative - server.relative_latency) / RELATIVE_LATENCY_WINDOW_RESPONSES
        self.latency.add(class_name, latency_ms)
        server.consecutive_failures = 0
        server.class_ejected_until_ms = without(server.class_ejected_until_ms, class_name)
        server.class_errors = without(server.class_errors, class_name)
        self.host_set.response_rate.responses += 1
        score_step = relative - SLOW_RELATIVE_LATENCY
        if score_step < 0:
            server.consecutive_ejections = 0
        return score_step

    def _record_failure(
            self, server: Server, class_name: str, outcome: api.Outcome, now_ms: float) -> None:
        errors = 0
        if outcome is api.Outcome.ERROR:
            errors = server.class_errors.get(class_name, 0) + 1
            server.class_errors = {**server.class_errors, class_name: errors}
        timeout_after_failure = outcome is api.Outcome.TIMEOUT and server.consecutive_failures > 0
        if timeout_after_failure or (errors >= CONSECUTIVE_CLASS_ERRORS_TO_EJECT and (
                class_name in server.class_ejected_until_ms or self._has_outlier_failure_rate(server))):
            # A server may time out or return errors for one class only. If it were ejected for all classes, a
            # successful trial call of another class would readmit it for all of them. A single timeout does
            # not eject the server, because the cause may be a dead connection.
            duration_ms = CLASS_EJECTION_MS * self.random.uniform(*EJECTION_JITTER)
            server.class_ejected_until_ms = {
                **server.class_ejected_until_ms, class_name: now_ms + duration_ms}
        # A refused connection means a dead process. A timeout while connecting may be chance.
        server.consecutive_failures += 2 if outcome is api.Outcome.CONNECT_FAILED else 1

    def _add_score(
            self, server: Server, score_step: float, now_ms: float, *, connect_failed: bool = False) -> None:
        """Add a step to the anomaly score, and eject the server if it is now an outlier."""
        server.anomaly_score = max(0.0, server.anomaly_score + score_step)
        is_outlier = (
            server.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            or server.anomaly_score >= EJECTION_SCORE)
        # Errors that come from a tier upstream of all servers of a zone must not eject them all. A server is
        # therefore ejected only if enough of its zone stays usable or its failure rate is an outlier. A
        # server that refuses connections is ejected in any case, because its process is dead.
        if server.ejected_until_ms <= now_ms and is_outlier and (
                connect_failed or self.host_set.can_eject(server) or self._has_outlier_failure_rate(server)):
            self.eject(server, BASE_EJECTION_MS, now_ms)

    def _had_short_deadline(self, request: Request, event: api.AttemptEnded) -> bool:
        """Return whether the attempt failed with too little time before its deadline to blame the server.

        If such failures counted, healthy servers would be ejected because callers set short deadlines, or
        because the downstream tiers used up the time. The drawback is that, if all callers set short
        deadlines, timeouts and errors no longer reveal a failing server.
        """
        if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.ERROR):
            return False
        available_ms = request.deadline_at_ms - request.attempts[event.attempt].sent_ms
        return available_ms < self.latency.slow_threshold_ms(request.request_class.name)

    def _has_outlier_failure_rate(self, server: Server) -> bool:
        """Return whether the server fails far more than the others, and half of all stay usable without it.

        Such a server is ejected even if its zone has no server to spare. Otherwise, if another server of the
        zone is ejected already, it would stay in use and attract most calls, because it fails fast and so
        always has free capacity. If all servers fail alike, none of them is an outlier.
        """
        other_rates = [
            s.failure_rate for s in self.host_set.servers.values()
            if s is not server and s.failure_rate is not None]
        mean_rate = sum(other_rates) / len(other_rates) if other_rates else 1.0
        is_failing = (server.failure_rate or 0.0) > OUTLIER_FAILURE_RATE_MARGIN + 2.0 * mean_rate
        return is_failing and self.host_set.keeps_half_after_one_ejection()
