"""Measures what the process really holds: resident memory, file descriptors, and the event loop's delay."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from honeywharf.net.clock import Clock, Loop

#: How often the delay of the event loop is measured.
TICK_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_PATH = Path("/proc/self/statm")
DESCRIPTORS_PATH = Path("/proc/self/fd")


@dataclass(slots=True, frozen=True)
class ResourceUsage:
    """What the process holds at one moment.

    `resident_bytes` and `descriptors` are 0 where the operating system does not tell.
    `loop_delay_ms`: how late the event loop ran its last timer.
    """

    resident_bytes: int
    descriptors: int
    loop_delay_ms: float


class ResourceMonitor:
    """Measures the resources of this process."""

    def __init__(self, loop: Loop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock
        self.loop_delay_ms = 0.0
        self.max_loop_delay_ms = 0.0  # since it was last reset
        self._tick_due_ms = 0.0

    def start(self) -> None:
        """Measure the delay of the event loop from now on."""
        self._schedule_tick()

    def usage(self) -> ResourceUsage:
        """Return what the process holds now."""
        return ResourceUsage(resident_bytes(), open_descriptors(), self.loop_delay_ms)

    def _schedule_tick(self) -> None:
        self._tick_due_ms = self.clock.now() + TICK_S * 1000.0
        self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self.loop_delay_ms = max(0.0, self.clock.now() - self._tick_due_ms)
        self.max_loop_delay_ms = max(self.max_loop_delay_ms, self.loop_delay_ms)
        self._schedule_tick()


def resident_bytes() -> int:
    """Return the resident size of this process, or 0 if it cannot be read."""
    try:
        return int(STATM_PATH.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def open_descriptors() -> int:
    """Return how many file descriptors this process has open, or 0 if that cannot be read."""
    try:
        return len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return 0
