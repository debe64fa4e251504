"""The periodic log lines: the counters that have changed, the list, the zones, and the resources held."""

from __future__ import annotations

from collections.abc import Mapping

from honeywharf.net.config import MEGABYTE
from honeywharf.net.connection_pool import ConnectionPool
from honeywharf.net.discovery import DiscoveryClient
from honeywharf.net.driver import Driver
from honeywharf.net.frontend import Frontend
from honeywharf.net.log import log
from honeywharf.net.resource_monitor import ResourceMonitor


class CounterLine:
    """A log line with the counters that have changed since it was last written."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._logged: Mapping[str, int] = {}

    def write(self, counts: Mapping[str, int]) -> bool:
        """Log the changes of the counters, and return whether there were any."""
        changes = {
            name: count - self._logged.get(name, 0) for name, count in counts.items()
            if count != self._logged.get(name, 0)}
        if changes:
            items = (f"{name.replace(' ', '_')}={change}" for name, change in sorted(changes.items()))
            log(f"{self.name} {' '.join(items)}")
        self._logged = counts
        return bool(changes)


class StatsReporter:
    """Logs what the parts of the proxy have counted, and what the process holds against its limits."""

    def __init__(
        self, driver: Driver, discovery_client: DiscoveryClient, pool: ConnectionPool, frontend: Frontend,
        monitor: ResourceMonitor, *, max_memory_bytes: int, max_descriptors: int,
    ) -> None:
        self.driver, self.discovery_client, self.pool, self.frontend, self.monitor = (
            driver, discovery_client, pool, frontend, monitor)
        self.max_memory_bytes, self.max_descriptors = max_memory_bytes, max_descriptors
        self.stats_line, self.connections_line = CounterLine("stats"), CounterLine("connections")

    def report(self) -> None:
        """Log what has happened since the last report, if anything has."""
        has_stats = self.stats_line.write({
            **self.driver.counts, **self.discovery_client.counts, **self.pool.counts,
            "handshakes": self.pool.handshakes, "late_connections": self.pool.slow_connect_count})
        if has_stats:
            log("list " + self.discovery_client.list_summary())
            log("zones " + self.driver.balancer.summary())
        acceptor = self.frontend.acceptor
        has_closes = self.connections_line.write({
            **self.pool.close_counts, **self.frontend.counts, **(acceptor.counts if acceptor else {})})
        if has_stats or has_closes:
            log("resources " + self._resource_summary())

    def _resource_summary(self) -> str:
        usage, frontend, pool = self.monitor.usage(), self.frontend, self.pool
        loop_delay_ms, self.monitor.max_loop_delay_ms = self.monitor.max_loop_delay_ms, 0.0
        return (
            f"resident={usage.resident_bytes / MEGABYTE:.1f}/{self.max_memory_bytes / MEGABYTE:.0f}MB "
            f"descriptors={usage.descriptors}/{self.max_descriptors} loop_delay={loop_delay_ms:.0f}ms "
            f"clients={len(frontend.connections)} receiving={len(frontend.receiving)} "
            f"lingering={len(frontend.lingering)} backend_connections={pool.total_connections} "
            f"client_memory={frontend.client_memory.used_bytes} "
            f"response_memory={pool.response_memory.used_bytes}")
