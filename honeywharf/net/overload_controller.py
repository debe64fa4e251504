"""Carries out what the overload manager decides, for all that the process holds."""

from __future__ import annotations

import gc

from honeywharf.net.clock import Clock
from honeywharf.net.config import MEGABYTE
from honeywharf.net.connection_pool import ConnectionPool
from honeywharf.net.frontend import Frontend
from honeywharf.net.heap import release_free_memory
from honeywharf.net.log import log
from honeywharf.net.resource_monitor import ResourceMonitor
from honeywharf.policy.overload import MemoryPressure, OverloadManager, OverloadState

#: While memory is scarce, what is freed is returned to the operating system at most this often.
MIN_RELEASE_INTERVAL_MS = 100.0
#: Garbage with reference cycles is collected at most this often, as that takes some milliseconds.
MIN_COLLECT_INTERVAL_MS = 2000.0
#: Changes of the pressure are logged at most this often.
MIN_LOG_INTERVAL_MS = 1000.0
#: How often the process is measured at most, whoever asks for it.
MIN_CHECK_INTERVAL_MS = 2.0


class OverloadController:
    """Measures the process, and limits clients, responses and lists by what the measurement allows.

    A measurement comes with each tick of the monitor. Whoever has come to hold much more asks for one between
    two ticks, by `check`: after a number of connections or bytes, or a piece of a list.
    """

    def __init__(
        self, clock: Clock, monitor: ResourceMonitor, manager: OverloadManager, frontend: Frontend,
        pool: ConnectionPool,
    ) -> None:
        self.clock, self.monitor, self.manager = clock, monitor, manager
        self.frontend, self.pool = frontend, pool
        self.pressure = self._logged_pressure = MemoryPressure.NONE
        self._applied: OverloadState | None = None
        self._checked_ms = self._released_ms = self._collected_ms = self._logged_ms = float("-inf")

    def tick(self) -> None:
        """Record the delay of the event loop, and measure the process."""
        self.manager.record_loop_delay(self.monitor.loop_delay_ms)
        self._apply(self._state())

    def check(self) -> MemoryPressure:
        """Measure the process, unless that was done just now, and return how scarce its memory is."""
        if self.clock.now() >= self._checked_ms + MIN_CHECK_INTERVAL_MS:
            self._apply(self._state())
        return self.pressure

    def _state(self) -> OverloadState:
        return self.manager.state(self.monitor.usage(), len(self.frontend.connections))

    def _apply(self, state: OverloadState) -> None:
        self._checked_ms = self.clock.now()
        if state == self._applied and state.memory_fraction >= 1.0:
            return
        self._applied = state
        self._log_change(state)
        self.frontend.limit(
            memory_fraction=state.memory_fraction, max_connections=state.max_client_connections,
            refuse_requests=state.refuse_requests)
        self.pool.limit(memory_fraction=state.memory_fraction)
        if state.memory_fraction < 1.0:
            self._release_memory()

    def _release_memory(self) -> None:
        now_ms = self._checked_ms
        if now_ms >= self._collected_ms + MIN_COLLECT_INTERVAL_MS:
            self._collected_ms = now_ms
            gc.collect()
        if now_ms >= self._released_ms + MIN_RELEASE_INTERVAL_MS:
            self._released_ms = now_ms
            release_free_memory()

    def _log_change(self, state: OverloadState) -> None:
        """Log that the pressure has changed, at a limited rate: it may change to and fro."""
        self.pressure = state.memory_pressure
        if self.pressure is self._logged_pressure or (
                self._checked_ms < self._logged_ms + MIN_LOG_INTERVAL_MS):
            return
        self._logged_pressure, self._logged_ms = self.pressure, self._checked_ms
        usage, limits = self.monitor.usage(), self.manager.limits
        log(f"overload: memory pressure {self.pressure.value}: "
            f"resident={usage.resident_bytes / MEGABYTE:.1f}/{limits.memory_bytes / MEGABYTE:.0f}MB "
            f"max_clients={state.max_client_connections} budgets={state.memory_fraction:.2f}")
