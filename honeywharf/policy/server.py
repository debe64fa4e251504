"""The state kept for each server: its active calls, its health for outlier ejection, and its capacity."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar

from honeywharf import interface as api

if TYPE_CHECKING:
    from honeywharf.policy.request import Attempt

T = TypeVar("T")

#: Shared by the servers without a failed class: there may be thousands of servers.
NO_CLASSES: Mapping[str, Any] = MappingProxyType({})


def without(by_class: Mapping[str, T], class_name: str) -> Mapping[str, T]:
    """Return the mapping without a class."""
    if class_name not in by_class:
        return by_class
    return {name: value for name, value in by_class.items() if name != class_name} or NO_CLASSES


@dataclass(slots=True, eq=False)
class Server:
    """The state that this balancer keeps for one listed endpoint."""

    endpoint: api.Endpoint
    last_update: int = 0  # the number of the last list that had it
    running_since_ms: float | None = None  # on the balancer's clock; None means long ago
    # The calls in flight from the oldest to the newest, without the hung ones.
    active_calls: dict[Attempt, None] = field(default_factory=dict)
    # By class name: until when the server gets no calls of that class. A change replaces the mapping.
    class_ejected_until_ms: Mapping[str, float] = field(default_factory=lambda: NO_CLASSES)
    class_errors: Mapping[str, int] = field(default_factory=lambda: NO_CLASSES)  # Consecutive ones.
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
