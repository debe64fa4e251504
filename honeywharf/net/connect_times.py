"""Recent connect times, and the time after which a connection counts as slow to connect."""

from __future__ import annotations

from collections import deque

# Enough recent connections for a quartile, and few enough to follow a change within seconds.
MAX_SAMPLES = 32
# A connection counts as slow after this multiple of the lower quartile of the recent connect times. Normal
# connect times vary by less, and the quartile stays normal while up to three in four connections are slow.
SLOW_THRESHOLD_FACTOR = 4.0
# No connection counts as slow before this, because the event loop may notice an established connection this
# much later than the operating system does. It is also the minimum delay that RFC 8305 (section 5) allows
# between two connection attempts.
MIN_SLOW_THRESHOLD_MS = 10.0


class ConnectTimes:
    """The recent connect times over all backends, in ms; a connect that timed out counts with its timeout.

    They are taken over all backends together because a proxy with little traffic opens few connections to
    each one.
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=MAX_SAMPLES)

    def add(self, elapsed_ms: float) -> None:
        """Record one connect time."""
        self._recent.append(elapsed_ms)

    def slow_threshold_ms(self) -> float:
        """Return how long a connection may take before it counts as slow."""
        if len(self._recent) < 2:
            return MIN_SLOW_THRESHOLD_MS
        return max(MIN_SLOW_THRESHOLD_MS, SLOW_THRESHOLD_FACTOR * _lower_quartile(sorted(self._recent)))


def _lower_quartile(ordered: list[float]) -> float:
    """Return the lower quartile of at least two ordered values, interpolated like `statistics.quantiles`.

    That module is not imported, as it holds more than half a megabyte of memory.
    """
    index = min(max((len(ordered) + 1) // 4, 1), len(ordered) - 1)
    remainder = len(ordered) + 1 - index * 4
    return (ordered[index - 1] * (4 - remainder) + ordered[index] * remainder) / 4
