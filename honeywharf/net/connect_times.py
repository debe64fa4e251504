"""How long connections take to come up, as one proxy has seen it."""

from __future__ import annotations

import statistics
from collections import deque

SAMPLES = 32  # recent connections: enough for a quartile, few enough to follow a change within seconds
# Times the quicker quartile of the recent connect times: past that a connection is late. Ordinary connect
# times spread by less, and the quartile stays ordinary while up to three in four connections are late.
LATE_AFTER = 4.0
# No connection is late before this: the loop may notice one so much later than the system. It is the least
# delay that RFC 8305 (section 5) allows between two attempts at a connection.
MIN_SLOW_THRESHOLD_MS = 10.0


class ConnectTimes:
    """The recent connect times over all backends, in ms; one that did not come up counts as the time-out.

    Over all backends together, as a proxy with little traffic opens few connections to each.
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=SAMPLES)

    def add(self, elapsed_ms: float) -> None:
        """Take one connection's time into account."""
        self._recent.append(elapsed_ms)

    def patience_ms(self) -> float:
        """How long a connection may take before it counts as late."""
        if len(self._recent) < 2:
            return MIN_SLOW_THRESHOLD_MS
        quartile = statistics.quantiles(self._recent, n=4)[0]
        return max(MIN_SLOW_THRESHOLD_MS, LATE_AFTER * quartile)
