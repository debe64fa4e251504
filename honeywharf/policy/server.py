"""The state kept for each server: its active calls, its health for outlier ejection, and its capacity."""

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
    running_since_ms: float | None = None  # on the balancer's clock; None means long ago
    # The calls in flight from the oldest to the newest, without the hung ones.
    active_calls: dict[Attempt, None] = field(default_factory=dict)
    # By class name: until when the server gets no calls of that class.
    class_ejected_until_ms: dict[str, float] = field(default_factory=dict)
    class_errors: dict[str, int] = field(default_factory=dict)  # Consecutive errors by class name.
    consecutive_failures: int = 0
    ejections: int = 0  # The number of ejections so far.
    anomaly_score: float = 0.0  # A running sum: failures and slow responses raise it, fast ones lower it.
    failure_rate: float | None = None  # A running mean over its calls; None until the first call has ended.
    relative_latency: float = 1.0  # Its mean latency, relative to the expected latency of each class.
    consecutive_ejections: int = 0  # Ejections since the last response that was not slow.
    ejected_until_ms: float = 0.0
    warming_up: bool = False
    next_warm_up_call_ms: float = 0.0  # While the server warms up, no call is sent to it before this time.
    # The server gets this fraction of an equal share of the calls. It is below 1 while the server warms up or
    # is slow.
    traffic_fraction: float = 1.0
    capacity: float = 1.0  # The traffic fraction times the server's weight relative to the mean weight.
