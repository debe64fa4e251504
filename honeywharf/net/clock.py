"""The proxy's clock, and the part of the event loop that schedules callbacks."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

# The event loop may fire a timer this much too early. An attempt with less time left must not start: it would
# get no response, and the request's timer, which would end it, may have fired already.
TIMER_TOLERANCE_MS = 1.0


class Clock:
    """Unix time that never goes back: the wall-clock time at the start, plus the monotonic time since then.

    It is compared with `startedAtMs` of endpoints, which is Unix time, so its origin must be the same. The
    wall clock itself is not used, because it may be set while the proxy runs.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds since the Unix epoch."""
        return self._offset_ms + time.monotonic() * 1000.0


class Timer(Protocol):
    """The handle of a scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback."""


class Loop(Protocol):
    """The methods of the event loop that the driver uses."""

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        """Run the callback in the loop's next iteration."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Run the callback after a delay in seconds, unless the timer is cancelled before."""
