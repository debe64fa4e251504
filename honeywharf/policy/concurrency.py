"""The concurrency limit of a zone, adapted to how late its answers come."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.policy.server import Server

LEAST_PART = 0.25  # of its first value that a limit keeps: so few calls let any jam drain
SLOW_START = 4.0  # how much faster a limit under its first value grows: that much is known to be safe
SLIVER = 1.0  # call over the limit, by worth: a limit of about one turns a third away by chance alone
ADAPT_MS = 500.0  # time in which answers late by once the ease would lower a limit e-fold: a round trip
# How much slower a limit grows, and the part of it that must be in use. Guards against running away: answers
GROWTH, IN_USE = 5.0, 0.8  # tell of a limit late, and what was let in by then jams servers for long
FOLLOWS = 0.3  # of an answer, in that mean: single ones come late by chance, and lowering goes faster
ANSWER_SPAN_MS = 250.0  # the longest time that one answer may speak for
WORTH_EXPONENT = 0.4  # a request may use its worth over the mean request's, to this power, of a limit


@dataclass(slots=True, eq=False)
class ZoneLimiter:
    """The concurrency limit of one zone: calls in flight per usable server, adapted to answer latency."""

    in_flight: int = 0
    limit: float = 0.0
    initial_limit: float = 0.0
    learned_ms: float = 0.0
    latency_ratio: float = 1.0  # the running mean of late answers
    capacity: float = 0.0  # that of its usable servers
    ready_servers: int = 0
    ejection_margin: int = 0  # usable servers, less two for each that is ejected

    def admits(self, part: float, odds: float, server: Server | None = None) -> bool:
        """Whether one more call fits into the part of the limit that is open to it; a fraction by chance.

        With a server: into its own part of that. Guards against calls that pile up on one server, or keep a
        small one as busy as a large one, while its neighbours sit light. One that holds none is never passed
        over: where many balancers share it its part is under one call, and the odds are the same for all.
        """
        if server is not None and not server.active_calls:
            return True
        calls = self.in_flight if server is None else len(server.active_calls)
        capacity = self.capacity if server is None else server.capacity
        sliver: float = SLIVER * part ** (1.0 / WORTH_EXPONENT)
        return calls + odds < self.limit * capacity * part + sliver

    def adapt_limit(self, lateness: float, now: float) -> None:
        """Move the limit by one answer, which took `lateness` times what a zone at ease takes at most.

        The pace is by time, not by answers, so that balancers with much and with little traffic agree.
        """
        span = min(ANSWER_SPAN_MS, now - self.learned_ms) / ADAPT_MS
        self.learned_ms = now
        self.latency_ratio += (min(lateness, 3.0) - self.latency_ratio) * FOLLOWS
        short = 1.0 - self.latency_ratio
        binds = self.in_flight > self.limit * self.capacity * IN_USE
        if short < 0 or binds:  # a limit that does not bind has not been tried
            if short > 0:
                span /= GROWTH / SLOW_START if self.limit < self.initial_limit else GROWTH
            self.limit = max(LEAST_PART * self.initial_limit, self.limit * (1.0 + max(-0.5, short * span)))
