"""The host set: the listed servers by zone, the usable ones by priority level, and their warm-up."""

from __future__ import annotations

import random
from collections import Counter

from honeywharf import interface as api
from honeywharf.policy.concurrency import ZoneLimiter
from honeywharf.policy.server import Server

REFRESH_INTERVAL_MS = 250.0  # how often slowly changing figures are renewed: short against any trouble
#: Up to this relative latency a server keeps its even share; a slower one gets less, by the square.
FULL_SHARE_LATENCY = 1.2
MIN_LATENCY_SHARE = 0.2  # what a slow server keeps of its even share at least
# Calls that a server of which nothing is known may hold, for itself and each tier below: one in work and one
# that waits for it. With one alone a core idles whenever its call waits for anything else.
INITIAL_CALLS = 2.0
WARM_UP_MARGIN = 3.0  # of the multiple that overloads a cold server, a third: calls come by chance and differ
RATE_WINDOW_MS = 5000.0  # over which the rate of answers is formed,
RATE_WINDOW_ANSWERS = 20.0  # and over so many answers at least: by chance the peak is then a fifth too high
PEAK_DECAY_MS = 60000.0  # in which the peak rate fades: it stays known while nothing answers


class ResponseRate:
    """The rate of answers of one warm server to this balancer, in answers a millisecond, and its peak."""

    def __init__(self, min_rate: float) -> None:
        self.min_rate = self.rate = self.peak = min_rate
        self.responses = 0  # since the last update
        self.updated_ms = 0.0

    def update(self, shares: float, now: float) -> None:
        """Take in the answers since the last update, which servers with these shares in sum have given."""
        elapsed_ms = max(1.0, now - self.updated_ms)
        window_ms = max(RATE_WINDOW_MS, RATE_WINDOW_ANSWERS / (self.rate * shares))
        weight = min(1.0, elapsed_ms / window_ms)
        measured = self.responses / elapsed_ms / shares
        self.rate = max(self.min_rate, self.rate + (measured - self.rate) * weight)
        self.peak = max(self.rate, self.peak * (1.0 - min(1.0, elapsed_ms / PEAK_DECAY_MS)))
        self.responses, self.updated_ms = 0, now


class HostSet:
    """The listed servers and their zones, with the usable servers in levels of falling priority.

    The levels are: the usable servers of the own zone, those of every zone, and again those of every zone,
    for which the balancer then relaxes its checks.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.random = rng
        self.servers: dict[str, Server] = {}
        self.zones: dict[str, ZoneLimiter] = {}
        self.usable: list[Server] = []
        self.priority_levels: list[list[Server]] = [[], [], []]
        self.refresh_due_ms = 0.0
        aim = max(c.aim_ms for c in settings.classes)
        # At least one answer for each aim, over all balancers.
        self.response_rate = ResponseRate(1.0 / (aim * settings.balancers))

    def update(self, event: api.EndpointsListed, now: float) -> None:
        """Take in a list that has arrived, or the changes to the last one."""
        if event.kind is not api.ListKind.CHANGES:
            named = {e.id for e in event.endpoints}
            for gone in [key for key in self.servers if key not in named]:
                del self.servers[gone]
        for endpoint in event.endpoints:
            self._update_server(endpoint, now)
        self.refresh(now)

    def _update_server(self, endpoint: api.Endpoint, now: float) -> None:
        self.zones.setdefault(endpoint.zone, ZoneLimiter())
        known = self.servers.get(endpoint.id)
        if endpoint.state is api.EndpointState.GONE:
            self.servers.pop(endpoint.id, None)
        elif known is None or known.endpoint.started_ms != endpoint.started_ms:
            server = self.servers[endpoint.id] = Server(endpoint)  # a new process has a clean record
            if self._warm_fraction(endpoint, now) < 1.0:
                self.schedule_warm_up_call(server, 0.0, 1.0, now)
        else:
            known.endpoint = endpoint

    def refresh_if_due(self, now: float) -> None:
        """Refresh once the interval since the last time has passed."""
        if now >= self.refresh_due_ms:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Renew each server's share, the levels, and what the zones know of their servers."""
        self.refresh_due_ms = now + REFRESH_INTERVAL_MS
        ready = [s for s in self.servers.values() if s.endpoint.state is api.EndpointState.READY]
        for server in ready:
            if server.endpoint.started_ms is None and server.relative_latency <= FULL_SHARE_LATENCY:
                # most of thousands: the same, in less time
                server.warming_up, server.traffic_fraction = False, 1.0
                continue
            latency_share = min(1.0, FULL_SHARE_LATENCY / server.relative_latency) ** 2
            warm_fraction = self._warm_fraction(server.endpoint, now)
            server.warming_up = warm_fraction < 1.0
            server.traffic_fraction = warm_fraction * max(MIN_LATENCY_SHARE, latency_share)
        # Ejection never leaves a live fleet unusable: with none usable, all that are ready count as usable.
        self.usable = [s for s in ready if s.ejected_until_ms <= now] or ready
        self.response_rate.update(sum(s.traffic_fraction for s in self.usable) or 1.0, now)
        local = [s for s in self.usable if s.endpoint.zone == self.settings.zone]
        self.priority_levels = [local, self.usable, self.usable]
        self._refresh_zones(ready)

    def _refresh_zones(self, ready: list[Server]) -> None:
        initial_limit = INITIAL_CALLS * (self.settings.tiers - self.settings.tier) * self.settings.zones
        initial_limit /= self.settings.balancers
        for zone in self.zones.values():
            zone.limit = zone.limit or initial_limit  # the limit keeps what it has learned
            zone.initial_limit = initial_limit
            zone.ejection_margin, zone.ready_servers, zone.capacity = 0, 0, 0.0
        for name, count in Counter([s.endpoint.zone for s in ready]).items():
            self.zones[name].ejection_margin -= 2 * count
            self.zones[name].ready_servers += count
        mean_size = sum(s.endpoint.size for s in ready) / max(1, len(ready)) or 1.0
        for server in self.usable:
            endpoint = server.endpoint
            server.capacity = server.traffic_fraction * endpoint.size / mean_size
            zone = self.zones[endpoint.zone]
            # Guards against overloading the first cold servers of a zone that has lost all others.
            zone.capacity += server.capacity
            zone.ejection_margin += 3

    def _warm_fraction(self, endpoint: api.Endpoint, now: float) -> float:
        """The part of its capacity that a server has at least, by the time since it started.

        Guards against overloading a cold server: its part of the calls never exceeds its part of capacity.
        """
        rules = self.settings.rules
        if endpoint.started_ms is None or rules.warm_after_ms <= 0:
            return 1.0
        age = max(0.0, now - endpoint.started_ms) / rules.warm_after_ms
        return min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age)

    def schedule_warm_up_call(
            self, server: Server, min_intervals: float, max_intervals: float, now: float) -> None:
        """Set when the cold server may get its next call from this balancer: so many mean intervals from now.

        Guards against overloading it: all balancers together send its part of what warm servers answered.
        """
        part = self.settings.rules.cold_multiple / WARM_UP_MARGIN * self._warm_fraction(server.endpoint, now)
        intervals = self.random.uniform(min_intervals, max_intervals)
        server.next_warm_up_call_ms = now + intervals / (part * self.response_rate.peak)

    def can_eject(self, server: Server) -> bool:
        """Whether two thirds of its zone stay usable: if more is slow, the trouble is not the server's.

        One or two servers are too few to measure that: there the whole fleet counts, and calls spill to it.
        """
        zone = self.zones[server.endpoint.zone]
        return zone.ejection_margin >= 3 or (
            zone.ready_servers < 3 and sum(z.ejection_margin for z in self.zones.values()) >= 3)

    def keeps_half_after_one_ejection(self) -> bool:
        """Whether at least half of all ready servers stay usable with one usable server less."""
        ready = sum(z.ready_servers for z in self.zones.values())
        return 2 * (len(self.usable) - 1) >= ready
