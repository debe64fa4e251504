"""Log lines about single requests and connections, at a limited rate."""

from __future__ import annotations

from honeywharf.net.clock import Clock
from honeywharf.net.log import log

#: This many lines a second are enough to trace examples, and little work even if every request fails.
MAX_EVENTS_PER_S = 20.0
MAX_EVENT_BURST = 100.0


class EventLog:
    """Writes one line for each event, up to a rate; further events are counted, and the count is logged."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.suppressed_count = 0
        self._tokens = MAX_EVENT_BURST
        self._refilled_ms = clock.now()

    def write(self, event: str, **fields: object) -> None:
        """Log an event with its fields as `name=value`, unless the rate is exceeded."""
        now_ms = self.clock.now()
        refill = (now_ms - self._refilled_ms) * MAX_EVENTS_PER_S / 1000.0
        self._tokens = min(MAX_EVENT_BURST, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            self.suppressed_count += 1
            return
        self._tokens -= 1.0
        if self.suppressed_count:
            log(f"{self.suppressed_count} events were not logged")
            self.suppressed_count = 0
        log(" ".join([event, *(f"{name}={_format(value)}" for name, value in fields.items())]))


def _format(value: object) -> str:
    """Format a value as one word: a client chooses ids and class names, but not the lines of the log."""
    text = f"{value:.0f}" if isinstance(value, float) else str(value)
    return (text if text.isprintable() else ascii(text)).replace(" ", "_")
