"""When the input of a connection arrived, for input that is held before it is parsed."""

from __future__ import annotations

from typing import NamedTuple

#: Input that arrives within this time of other input counts as having arrived with it. This limits how many
#: times are kept, however small the parts are in which the input arrives.
RESOLUTION_MS = 50.0


class Arrival(NamedTuple):
    """Input up to a position in the stream, and when it arrived."""

    end: int
    time_ms: float


class ArrivalTimes:
    """The arrival times of the input that has not been taken yet, by its position in the stream."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self._arrivals: list[Arrival] = []

    def add(self, size: int, time_ms: float) -> None:
        """Record the arrival of more input."""
        self.received_bytes += size
        if self._arrivals and time_ms < self._arrivals[-1].time_ms + RESOLUTION_MS:
            time_ms = self._arrivals.pop().time_ms
        self._arrivals.append(Arrival(self.received_bytes, time_ms))

    def take(self, untaken_bytes: int) -> float:
        """Take all input but this much, and return when the last of it arrived."""
        position = self.received_bytes - untaken_bytes
        while len(self._arrivals) > 1 and self._arrivals[0].end < position:
            self._arrivals.pop(0)
        return self._arrivals[0].time_ms
