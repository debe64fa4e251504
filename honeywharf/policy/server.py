"""The state kept for each server: its calls in flight and its health, which outlier ejection judges."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from honeywharf import interface as api

if TYPE_CHECKING:
    from honeywharf.policy.request import Attempt


@dataclass(slots=True, eq=False)
class Server:
    """The state that this balancer keeps for one listed endpoint."""

    endpoint: api.Endpoint
    # out, the oldest first; not those that hang
    active_calls: dict[Attempt, None] = field(default_factory=dict)
    class_ejected_until_ms: dict[str, float] = field(default_factory=dict)  # by class, for that class alone
    class_errors: dict[str, int] = field(default_factory=dict)  # by class, in a row
    consecutive_failures: int = 0
    ejections: int = 0
    anomaly_score: float = 0.0  # a running sum: failures and late answers raise it, fast answers lower it
    failure_rate: float | None = None  # of its recent calls; None before the first has ended
    relative_latency: float = 1.0  # its mean latency, in expected latencies of the classes
    consecutive_ejections: int = 0  # without a success between them
    ejected_until_ms: float = 0.0
    warming_up: bool = False
    next_warm_up_call_ms: float = 0.0  # while it warms up: nothing is sent to it before
    traffic_fraction: float = 1.0  # of the even share that it is given; under 1 while it warms up
    capacity: float = 1.0  # its share, times its registered size over the mean one
