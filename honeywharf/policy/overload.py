"""Overload: what the proxy may take on, by what its process really holds at the moment.

Budgets count what the proxy knows that it holds. The process holds more: the allocator's overhead, the state
of connections and endpoints, and whatever nobody has counted. So the resident memory, the delay of the event
loop and the open descriptors of the process decide here, for all parties together.

As memory becomes scarce, the budgets for messages and the number of client connections shrink, in proportion
to what is left, down to a small part that is always there. Whoever holds the most then loses it first. Once
the event loop is late for long, new requests are refused, because their responses would come too late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

#: From this part of the memory limit on, what may be held shrinks. At the second part, it has shrunk to its
#: minimum. The rest is for what is taken between two measurements.
SCARCE_MEMORY_FRACTION = 0.86
EXHAUSTED_MEMORY_FRACTION = 0.91
#: The part of the allowed client connections that is there however scarce memory is.
MIN_CONNECTION_FRACTION = 0.25
#: New requests are refused while the event loop was at least this late each of the last few times. A process
#: that was held up once is late once.
MAX_LOOP_DELAY_MS = 500.0
LOOP_DELAY_SAMPLES = 3
#: Connections of clients are closed if fewer descriptors than this are left: connections to backends and to
#: discovery need them too.
MIN_FREE_DESCRIPTORS = 16


@dataclass(slots=True, frozen=True)
class ResourceUsage:
    """What the process holds at one moment.

    `resident_bytes` and `descriptors` are 0 where the operating system does not tell.
    `loop_delay_ms`: how late the event loop ran its last timer.
    """

    resident_bytes: int
    descriptors: int
    loop_delay_ms: float


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """What the process may hold, and how many client connections it allows at most."""

    memory_bytes: int
    descriptors: int
    client_connections: int


class MemoryPressure(Enum):
    """How scarce memory is."""

    NONE = "none"
    SCARCE = "scarce"
    EXHAUSTED = "exhausted"


@dataclass(slots=True, frozen=True)
class OverloadState:
    """What the proxy may take on.

    `memory_fraction`: the part of the budgets for messages that may be used, from 0 to 1; their minimum may
    be used in any case.
    `max_client_connections`: connections without a complete request are closed beyond this number.
    """

    memory_pressure: MemoryPressure
    memory_fraction: float
    max_client_connections: int
    refuse_requests: bool


class OverloadManager:
    """Decides what the proxy may take on, from one measurement to the next."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self._loop_delays_ms: deque[float] = deque([0.0], maxlen=LOOP_DELAY_SAMPLES)

    def record_loop_delay(self, delay_ms: float) -> None:
        """Record how late the event loop was."""
        self._loop_delays_ms.append(delay_ms)

    def state(self, usage: ResourceUsage, client_connections: int) -> OverloadState:
        """Return what the proxy may take on, given what it holds and its number of client connections."""
        fraction = self._memory_fraction(usage.resident_bytes)
        pressure = MemoryPressure.NONE
        if fraction < 1.0:
            pressure = MemoryPressure.SCARCE if fraction > 0.0 else MemoryPressure.EXHAUSTED
        min_connections = int(MIN_CONNECTION_FRACTION * self.limits.client_connections)
        allowed = min_connections + int(fraction * (self.limits.client_connections - min_connections))
        return OverloadState(
            pressure, fraction, min(allowed, self._connections_by_descriptors(usage, client_connections)),
            self._is_late_for_long())

    def _memory_fraction(self, resident_bytes: int) -> float:
        used = resident_bytes / self.limits.memory_bytes
        left = (EXHAUSTED_MEMORY_FRACTION - used) / (EXHAUSTED_MEMORY_FRACTION - SCARCE_MEMORY_FRACTION)
        return min(1.0, max(0.0, left))

    def _connections_by_descriptors(self, usage: ResourceUsage, client_connections: int) -> int:
        missing = MIN_FREE_DESCRIPTORS - (self.limits.descriptors - usage.descriptors)
        if missing <= 0:
            return self.limits.client_connections
        return max(1, client_connections - missing)

    def _is_late_for_long(self) -> bool:
        return len(self._loop_delays_ms) == LOOP_DELAY_SAMPLES and min(
            self._loop_delays_ms) >= MAX_LOOP_DELAY_MS
