"""The pace of polls: lists may take up only a part of the proxy's time, however often they change."""

from __future__ import annotations

#: The part of the time that lists may take up for long.
MAX_BUSY_FRACTION = 0.3
#: The work that may come at once: that of some lists of thousands of servers.
MAX_BURST_MS = 250.0
#: The longest pause before a poll. Discovery ends a watch whose next poll comes later than 200 ms after a
#: response, so a longer pause would put the proxy at the end of discovery's queue.
MAX_PAUSE_MS = 100.0


class PollPacer:
    """Says how long to pause before the next poll, by the time that the last lists have taken."""

    def __init__(self) -> None:
        self._backlog_ms = 0.0  # work beyond the permitted fraction
        self._updated_ms = 0.0

    def pause_ms(self, now_ms: float, work_ms: float) -> float:
        """Record the time that a list has taken, and return the pause before the next poll."""
        idle_ms = max(0.0, now_ms - self._updated_ms)
        self._backlog_ms = max(0.0, self._backlog_ms - idle_ms * MAX_BUSY_FRACTION) + work_ms
        self._updated_ms = now_ms
        excess_ms = self._backlog_ms - MAX_BURST_MS
        return min(MAX_PAUSE_MS, max(0.0, excess_ms / MAX_BUSY_FRACTION))
