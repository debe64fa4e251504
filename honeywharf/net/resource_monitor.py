"""Measures what the process really holds: resident memory, file descriptors, and the event loop's delay."""

from __future__ import annotations

import os
from collections.abc import Callable

from honeywharf.net.clock import Clock, Loop
from honeywharf.policy.overload import ResourceUsage

#: How often the process is measured, which takes little of an idle process's time.
TICK_S = 0.25
#: The descriptors are counted at every second tick: that may take a fraction of a millisecond.
TICKS_PER_DESCRIPTOR_COUNT = 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_PATH = "/proc/self/statm"
DESCRIPTORS_PATH = "/proc/self/fd"


class ResourceMonitor:
    """Measures the resources of this process; `on_tick` is called each time the loop's delay was measured."""

    def __init__(self, loop: Loop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock
        self.on_tick: Callable[[], None] = lambda: None
        self.loop_delay_ms = 0.0
        self.max_loop_delay_ms = 0.0  # since it was last reset
        self.descriptor_count = 0
        self._tick_due_ms = 0.0
        self._tick_count = 0
        self._statm: int | None = None  # a descriptor of the file that states the resident memory

    def start(self) -> None:
        """Measure from now on."""
        try:
            self._statm = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = None
        self._schedule_tick()

    def usage(self) -> ResourceUsage:
        """Return what the process holds now; the descriptors as they were last counted."""
        return ResourceUsage(self._resident_bytes(), self.descriptor_count, self.loop_delay_ms)

    def _schedule_tick(self) -> None:
        self._tick_due_ms = self.clock.now() + TICK_S * 1000.0
        self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self.loop_delay_ms = max(0.0, self.clock.now() - self._tick_due_ms)
        self.max_loop_delay_ms = max(self.max_loop_delay_ms, self.loop_delay_ms)
        if self._tick_count % TICKS_PER_DESCRIPTOR_COUNT == 0:
            self.descriptor_count = open_descriptors()
        self._tick_count += 1
        self._schedule_tick()
        self.on_tick()

    def _resident_bytes(self) -> int:
        if self._statm is None:
            return 0
        try:
            return int(os.pread(self._statm, 128, 0).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0


def open_descriptors() -> int:
    """Return how many file descriptors this process has open, or 0 if that cannot be read."""
    try:
        return len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return 0
