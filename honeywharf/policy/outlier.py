"""Outlier detection and ejection: which servers fail, or answer late, and for how long they get no calls."""

from __future__ import annotations

import random

from honeywharf import interface as api
from honeywharf.policy.host_set import HostSet
from honeywharf.policy.request import Request
from honeywharf.policy.server import Server

CONSECUTIVE_FAILURES = 4  # that eject; a refused connection counts twice: a dead process refuses the next too
SLOW_LATENCY = 1.7  # relative latency: what is beyond adds to the anomaly score, less takes from it
MAX_SCORE_STEP = 3.0  # what one call can add, a failed one included: no server is judged by a single call
EJECTION_SCORE = 6.0  # anomaly score that ejects: by chance alone about once in some hundred calls
FAILURE_RATE_CALLS = 6  # calls over which the failure rate is formed
OUTLIER_FAILURE_RATE = 0.25  # over twice what is usual: a server that fails so many of its calls stands out
BASE_EJECTION_MS = 2500.0  # first ejection: long enough for a crowded server to empty
MAX_EJECTION_DOUBLINGS = 2  # by consecutive ejections: at most four times the first duration
EJECTION_JITTER = (0.75, 1.25)  # random factor of each duration
OVERLOAD_EJECTION_MS = 1000.0  # after a rejection: a full server needs that long to work its queue down
RELATIVE_LATENCY_ANSWERS = 6  # answers over which a server's relative latency is formed
CLASS_EJECTION_MS = 10000.0  # without calls of a class that got no answer: each trial may cost a request
CONSECUTIVE_CLASS_ERRORS = 2  # errors in a row of one class: one alone may be chance, or a tier behind
HUNG_LATENCY = 3.0  # relative latency: about one answer in some hundred comes that late by chance
BASELINE_ANSWERS = 30  # answers over which the expected latency of a class is formed


class LatencyBaseline:
    """The expected latency of each request class: a running mean over all servers."""

    def __init__(self) -> None:
        self.expected_ms: dict[str, float] = {}
        self.samples: dict[str, int] = {}  # answers that the mean is formed of, up to its length

    def add(self, class_name: str, latency_ms: float) -> None:
        """Take in the latency of one answer."""
        samples = self.samples[class_name] = min(BASELINE_ANSWERS, self.samples.get(class_name, 0) + 1)
        expected = self.expected_ms.get(class_name, latency_ms)
        self.expected_ms[class_name] = expected + (latency_ms - expected) / samples

    def slow_ms(self, class_name: str) -> float:
        """The latency beyond which an answer is slow; zero before the first answer."""
        return SLOW_LATENCY * self.expected_ms.get(class_name, 0.0)

    def is_settled(self, class_name: str) -> bool:
        """Whether the expected latency is formed of enough answers to find calls that hang by it."""
        return self.samples.get(class_name, 0) >= BASELINE_ANSWERS

    def hung_ms(self, class_name: str) -> float:
        """The age beyond which a call counts as hung; infinite before the first answer."""
        return HUNG_LATENCY * self.expected_ms.get(class_name, float("inf"))


class OutlierDetector:
    """Keeps the health of each server by its calls, and ejects from the host set those that stand out."""

    def __init__(self, host_set: HostSet, rng: random.Random) -> None:
        self.host_set = host_set
        self.random = rng
        self.latency = LatencyBaseline()

    def record(self, server: Server, request: Request, event: api.AttemptEnded, now: float) -> None:
        """Take in how an attempt ended, and eject a server whose recent calls failed or came far too late."""
        outcome = event.outcome
        if outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT):
            return
        if self._had_short_deadline(request, event):
            return
        if outcome is api.Outcome.REJECTED:
            self._record_failure(server, request.cls.name, outcome, now)
            # Guards against filling each slot of an overloaded server at the moment it frees.
            if server.ejected_until_ms <= now and self.host_set.can_eject(server):
                self.eject(server, OVERLOAD_EJECTION_MS, now)
            return
        self._update_failure_rate(server, failed=outcome is not api.Outcome.OK)
        score_step = MAX_SCORE_STEP
        if outcome is api.Outcome.OK:
            score_step = self._record_success(server, request.cls.name, event.served_ms)
        else:
            self._record_failure(server, request.cls.name, outcome, now)
        self._add_score(server, score_step, now, dead=outcome is api.Outcome.CONNECT_FAILED)

    def record_hung_call(self, server: Server, now: float) -> None:
        """Take in that a call hangs at the server while it answers later ones."""
        self._add_score(server, MAX_SCORE_STEP, now)

    def eject(self, server: Server, base_ms: float, now: float) -> None:
        """Take the server out for a while; the first calls after that are trials, one at a time."""
        backoff = 2 ** min(server.consecutive_ejections, MAX_EJECTION_DOUBLINGS)
        server.ejected_until_ms = now + base_ms * backoff * self.random.uniform(*EJECTION_JITTER)
        server.ejections += 1
        for call in server.active_calls:  # they no longer hold others up
            call.release()
        server.anomaly_score = EJECTION_SCORE / 2
        server.consecutive_ejections += 1
        self.host_set.refresh(now)

    def _update_failure_rate(self, server: Server, *, failed: bool) -> None:
        sample = 1.0 if failed else 0.0
        known = sample if server.failure_rate is None else server.failure_rate
        server.failure_rate = known + (sample - known) / FAILURE_RATE_CALLS

    def _record_success(self, server: Server, class_name: str, latency_ms: float) -> float:
        """Take in an answer; returns what it adds to the anomaly score, which is negative for a fast one."""
        expected = self.latency.expected_ms.get(class_name, latency_ms)
        relative = min(latency_ms / max(expected, 1.0), MAX_SCORE_STEP + SLOW_LATENCY)
        server.relative_latency += (relative - server.relative_latency) / RELATIVE_LATENCY_ANSWERS
        self.latency.add(class_name, latency_ms)
        server.consecutive_failures = 0
        server.class_ejected_until_ms.pop(class_name, None)
        server.class_errors.pop(class_name, None)
        self.host_set.response_rate.responses += 1
        score_step = relative - SLOW_LATENCY
        if score_step < 0:
            server.consecutive_ejections = 0
        return score_step

    def _record_failure(self, server: Server, class_name: str, outcome: api.Outcome, now: float) -> None:
        errors = 0
        if outcome is api.Outcome.ERROR:
            errors = server.class_errors[class_name] = server.class_errors.get(class_name, 0) + 1
        timed_out_again = outcome is api.Outcome.TIMEOUT and server.consecutive_failures > 0
        if timed_out_again or (errors >= CONSECUTIVE_CLASS_ERRORS and (
                class_name in server.class_ejected_until_ms or self._stands_out(server))):
            # Guards against a server that answers none of a class, or with errors: trial calls of one that it
            # serves would bring it back for all. A single time-out may be a connection that has gone dead.
            duration_ms = CLASS_EJECTION_MS * self.random.uniform(*EJECTION_JITTER)
            server.class_ejected_until_ms[class_name] = now + duration_ms
        # A refused connection shows a dead process; one that did not come up in time may be chance.
        server.consecutive_failures += 2 if outcome is api.Outcome.CONNECT_FAILED else 1

    def _add_score(self, server: Server, score_step: float, now: float, *, dead: bool = False) -> None:
        """Add to the anomaly score, and eject if it is enough; a dead server even if none can be spared."""
        server.anomaly_score = max(0.0, server.anomaly_score + score_step)
        is_outlier = (
            server.consecutive_failures >= CONSECUTIVE_FAILURES or server.anomaly_score >= EJECTION_SCORE)
        # Guards against emptying a zone for what a tier behind all its servers gets wrong.
        if server.ejected_until_ms <= now and is_outlier and (
                dead or self.host_set.can_eject(server) or self._stands_out(server)):
            self.eject(server, BASE_EJECTION_MS, now)

    def _had_short_deadline(self, request: Request, event: api.AttemptEnded) -> bool:
        """Whether the attempt failed for the little time that its caller had left.

        Guards against ejecting sound servers of this tier for callers with short deadlines, or for time used
        up in the tiers above. Could hurt where all callers are such: only broken connections then show who
        fails.
        """
        if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.ERROR):
            return False
        given_ms = request.deadline - request.attempts[event.attempt].sent_ms
        return given_ms < self.latency.slow_ms(request.cls.name)

    def _stands_out(self, server: Server) -> bool:
        """Whether it fails far more than the other servers do, and half of all stay usable without it.

        Guards against a failing server that stays in as another one is out: it fails fast, so it always has
        room, and draws the calls. What fails alike everywhere stands out nowhere.
        """
        others = [
            s.failure_rate for s in self.host_set.servers.values()
            if s is not server and s.failure_rate is not None]
        usual = sum(others) / len(others) if others else 1.0
        is_failing = (server.failure_rate or 0.0) > OUTLIER_FAILURE_RATE + 2.0 * usual
        return is_failing and self.host_set.keeps_half_after_one_ejection()
