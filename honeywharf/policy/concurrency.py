"""The concurrency limit of a zone, which adapts to the latency of its responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.policy.server import Server

#: A limit never falls below this fraction of its initial value: with so few calls, any congestion clears.
MIN_LIMIT_FRACTION = 0.25
#: A limit below its initial value grows this many times faster than one above it, because the initial limit
#: is known to be safe.
RECOVERY_SPEEDUP = 4.0
#: The number of calls beyond the limit up to which a request is admitted. It is multiplied by the worth of
#: the request relative to the mean (at most 1), and much smaller for a request over its tenant's quota.
#: Without these extra calls, a limit of about one call rejects a third of the calls by chance alone.
EXTRA_CALLS = 1.0
#: Responses that take twice the target lower a limit by a factor of e in this time. It is about as long as it
#: takes until responses show the effect of a change of the limit.
ADAPTATION_TIME_MS = 500.0
#: A limit grows this many times more slowly than it falls. Otherwise it overshoots: responses show only after
#: a delay that a limit is too high, and the calls admitted until then congest the servers for a long time.
GROWTH_SLOWDOWN = 5.0
#: A limit grows only while more than this fraction of it is in use. Otherwise it would grow without
#: bound at low traffic, and the next burst would congest the servers.
MIN_UTILIZATION_TO_GROW = 0.8
#: Weight of the newest response in the running mean of latency ratios. Without a mean, single responses that
#: are slow by chance would lower the limit more than the others raise it, because it falls faster than it
#: grows.
LATENCY_RATIO_SMOOTHING = 0.3
#: One response adapts the limit as if at most this much time had passed since the previous one.
MAX_ADAPTATION_STEP_MS = 250.0
#: The fraction of a limit that is open to a request is its worth divided by the mean worth, raised to this
#: power, but at most 1.
WORTH_EXPONENT = 0.4


@dataclass(slots=True, eq=False)
class ZoneLimiter:
    """Limits the calls in flight to one zone and counts its ready servers.

    `limit` is the permitted number of calls in flight per unit of capacity. A server of mean weight has a
    capacity of 1, unless it is slow or warming up.
    """

    in_flight: int = 0
    limit: float = 0.0
    initial_limit: float = 0.0
    last_adapted_ms: float = 0.0
    latency_ratio: float = 1.0  # The running mean of latency relative to its target.
    capacity: float = 0.0  # The sum over the usable servers of the zone.
    ready_servers: int = 0
    # Three times the number of usable servers minus twice the number of ready ones, so each ejection lowers
    # it by 3. It is at least 0 while two thirds of the ready servers are usable.
    ejection_margin: int = 0

    def admits(self, limit_share: float, random_fraction: float, server: Server | None = None) -> bool:
        """Whether one more call fits into `limit_share`, the fraction of the limit that is open to it.

        `random_fraction`, from [0, 1), is added to the active calls, so that a fractional limit is rounded up
        or down at random.

        If a server is given, the call must fit into that server's part of the limit. Otherwise calls would
        pile up on one server, or keep a small server as busy as a large one, while other servers have
        capacity left. A server without active calls always admits one. Otherwise, if many balancers share the
        servers, each server's part of the limit would be less than one call, and all servers would reject the
        same call, because `random_fraction` is the same for all of them.
        """
        if server is not None and not server.active_calls:
            return True
        active_calls = self.in_flight if server is None else len(server.active_calls)
        capacity = self.capacity if server is None else server.capacity
        # For a request within its quota, this power turns the share back into the worth relative to the mean.
        extra_calls: float = EXTRA_CALLS * limit_share ** (1.0 / WORTH_EXPONENT)
        return active_calls + random_fraction < self.limit * capacity * limit_share + extra_calls

    def adapt_limit(self, latency_ratio: float, now_ms: float) -> None:
        """Adapt the limit to one response, which took `latency_ratio` times the target latency.

        The pace depends on the elapsed time and not on the number of responses, so that balancers with little
        and with much traffic arrive at the same limits.
        """
        step = min(MAX_ADAPTATION_STEP_MS, now_ms - self.last_adapted_ms) / ADAPTATION_TIME_MS
        self.last_adapted_ms = now_ms
        self.latency_ratio += (min(latency_ratio, 3.0) - self.latency_ratio) * LATENCY_RATIO_SMOOTHING
        latency_margin = 1.0 - self.latency_ratio
        in_use = self.in_flight > self.limit * self.capacity * MIN_UTILIZATION_TO_GROW
        if latency_margin < 0 or in_use:  # Low latency proves nothing about a limit that is not in use.
            if latency_margin > 0:
                step /= (
                    GROWTH_SLOWDOWN / RECOVERY_SPEEDUP if self.limit < self.initial_limit
                    else GROWTH_SLOWDOWN)
            self.limit = max(
                MIN_LIMIT_FRACTION * self.initial_limit,
                self.limit * (1.0 + max(-0.5, latency_margin * step)))
