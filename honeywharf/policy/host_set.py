"""The host set: the listed servers by zone, the usable ones by priority level, and their slow start."""

from __future__ import annotations

import random
from collections import Counter

from honeywharf import interface as api
from honeywharf.policy.concurrency import ZoneLimiter
from honeywharf.policy.server import Server
from honeywharf.policy.slow_start import StartTimes, warm_fraction

#: Interval between recomputations of traffic fractions, priority levels and zone capacities. Failures that
#: the balancer must react to last much longer.
REFRESH_INTERVAL_MS = 250.0
# With more zones than this, those without servers are forgotten. With fewer, a zone that loses all its
# servers keeps its limit for their return.
MAX_EMPTY_ZONES = 256
#: Up to this relative latency, a server gets an equal share of the traffic. A slower one gets a fraction of
#: that share, which falls with the square of its relative latency.
FULL_TRAFFIC_LATENCY = 1.2
#: A slow server gets at least this fraction of an equal share.
MIN_SLOW_SERVER_FRACTION = 0.2
#: The initial concurrency limit of a server, summed over all balancers, is this many calls multiplied by the
#: number of tiers from its own tier to the last one. Of the two calls per tier, one is being executed and one
#: waits in the queue. With only one, a core of the server would be idle whenever its call waits for something
#: else.
INITIAL_CALLS_PER_TIER = 2.0
#: A cold server gets the load that would overload it divided by this factor, because calls arrive at random
#: times and differ in their work.
SLOW_START_SAFETY_FACTOR = 3.0
#: The response rate is averaged over this time, or over a longer one if there are few responses.
RATE_WINDOW_MS = 5000.0
#: The average covers at least this many responses. The peak of such an average is about a fifth above the
#: true rate, because of random variation.
RATE_WINDOW_RESPONSES = 20.0
#: The peak rate decays slowly, over this time, so that it stays known while no server responds.
PEAK_DECAY_MS = 60000.0


class ResponseRate:
    """The mean rate of responses per warm server to this balancer, per millisecond, and its recent peak."""

    def __init__(self, min_rate: float) -> None:
        self.min_rate = self.rate = self.peak = min_rate
        self.responses = 0  # The responses of all servers since the last update.
        self.updated_ms = 0.0

    def update(self, total_traffic_fraction: float, now_ms: float) -> None:
        """Update the rate with the responses since the last update.

        `total_traffic_fraction` is the sum of the traffic fractions of all usable servers.
        """
        elapsed_ms = max(1.0, now_ms - self.updated_ms)
        window_ms = max(RATE_WINDOW_MS, RATE_WINDOW_RESPONSES / (self.rate * total_traffic_fraction))
        weight = min(1.0, elapsed_ms / window_ms)
        measured_rate = self.responses / elapsed_ms / total_traffic_fraction
        self.rate = max(self.min_rate, self.rate + (measured_rate - self.rate) * weight)
        self.peak = max(self.rate, self.peak * (1.0 - min(1.0, elapsed_ms / PEAK_DECAY_MS)))
        self.responses, self.updated_ms = 0, now_ms


class HostSet:
    """The listed servers and their zones, with the usable servers in levels of decreasing priority.

    Level 0 holds the usable servers of the local zone. Levels 1 and 2 both hold those of all zones. At level
    2 the balancer relaxes its checks.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.random = rng
        self.servers: dict[str, Server] = {}
        self.update_count = 0
        self.zones: dict[str, ZoneLimiter] = {}
        self.usable: list[Server] = []
        self.priority_levels: list[list[Server]] = [[], [], []]
        self.start_times = StartTimes()
        self.refresh_due_ms = 0.0
        aim = max(c.aim_ms for c in settings.classes)
        # The minimum rate is one response per aim, summed over all balancers.
        self.response_rate = ResponseRate(1.0 / (aim * settings.balancer_count))

    def update(self, event: api.EndpointsListed, now_ms: float) -> None:
        """Apply a full endpoint list or the changes to the current one."""
        self.update_count += 1
        for endpoint in event.endpoints:
            self._update_server(endpoint, now_ms, event.previous_list_current_ms)
        if event.kind is not api.ListKind.CHANGES:
            unlisted = [i for i, s in self.servers.items() if s.last_update != self.update_count]
            for server_id in unlisted:
                del self.servers[server_id]
        if len(self.zones) > MAX_EMPTY_ZONES:
            self._forget_empty_zones()
        self.refresh(now_ms)

    def _forget_empty_zones(self) -> None:
        """Forget the zones without servers and calls: lists may name ever new zones."""
        listed = {server.endpoint.zone for server in self.servers.values()}
        self.zones = {
            name: zone for name, zone in self.zones.items() if name in listed or zone.in_flight > 0}

    def _update_server(
            self, endpoint: api.Endpoint, now_ms: float, previous_list_current_ms: float) -> None:
        self.zones.setdefault(endpoint.zone, ZoneLimiter())
        current = self.servers.get(endpoint.id)
        if endpoint.state is api.EndpointState.GONE:
            self.servers.pop(endpoint.id, None)
        elif current is None or current.endpoint.started_ms != endpoint.started_ms:
            # A restarted process starts without the health record of its predecessor.
            server = self.servers[endpoint.id] = Server(endpoint)
            server.running_since_ms = self.start_times.running_since_ms(
                endpoint, now_ms, previous_list_current_ms)
            if self._warm_fraction(server, now_ms) < 1.0:
                self.set_next_warm_up_call_time(server, 0.0, 1.0, now_ms)
            server.last_update = self.update_count
        else:
            current.endpoint, current.last_update = endpoint, self.update_count

    def refresh_if_due(self, now_ms: float) -> None:
        """Refresh if the refresh interval has passed since the last refresh."""
        if now_ms >= self.refresh_due_ms:
            self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Recompute the traffic fractions, the priority levels, and the capacity and margin of each zone."""
        self.refresh_due_ms = now_ms + REFRESH_INTERVAL_MS
        ready_servers = [s for s in self.servers.values() if s.endpoint.state is api.EndpointState.READY]
        for server in ready_servers:
            if server.running_since_ms is None and server.relative_latency <= FULL_TRAFFIC_LATENCY:
                # This shortcut saves time, because a list may hold thousands of servers, and it applies to
                # most of them. The code below would give the same result.
                server.warming_up, server.traffic_fraction = False, 1.0
                continue
            latency_fraction = min(1.0, FULL_TRAFFIC_LATENCY / server.relative_latency) ** 2
            warm_share = self._warm_fraction(server, now_ms)
            server.warming_up = warm_share < 1.0
            server.traffic_fraction = warm_share * max(MIN_SLOW_SERVER_FRACTION, latency_fraction)
        # If all ready servers are ejected, all of them are usable: ejection must not stop the traffic.
        self.usable = [s for s in ready_servers if s.ejected_until_ms <= now_ms] or ready_servers
        self.response_rate.update(sum(s.traffic_fraction for s in self.usable) or 1.0, now_ms)
        local_servers = [s for s in self.usable if s.endpoint.zone == self.settings.zone]
        self.priority_levels = [local_servers, self.usable, self.usable]
        self._refresh_zones(ready_servers)

    def _refresh_zones(self, ready_servers: list[Server]) -> None:
        # The balancers of a zone share its servers, and each of them gets an equal part of the limit. A zone
        # has `balancer_count` / `zone_count` balancers on average.
        zone_initial_limit = (
            INITIAL_CALLS_PER_TIER
            * (self.settings.tier_count - self.settings.tier)
            * self.settings.zone_count
        )
        zone_initial_limit /= self.settings.balancer_count
        for zone in self.zones.values():
            zone.limit = zone.limit or zone_initial_limit  # A limit that has adapted is kept.
            zone.initial_limit = zone_initial_limit
            zone.ejection_margin, zone.ready_servers, zone.capacity = 0, 0, 0.0
        for name, count in Counter([s.endpoint.zone for s in ready_servers]).items():
            self.zones[name].ejection_margin -= 2 * count
            self.zones[name].ready_servers += count
        mean_weight = sum(s.endpoint.weight for s in ready_servers) / max(1, len(ready_servers)) or 1.0
        for server in self.usable:
            endpoint = server.endpoint
            server.capacity = server.traffic_fraction * endpoint.weight / mean_weight
            zone = self.zones[endpoint.zone]
            # A cold server adds only its reduced capacity. Otherwise, after a zone has lost all its servers,
            # the first new ones would be overloaded.
            zone.capacity += server.capacity
            zone.ejection_margin += 3

    def _warm_fraction(self, server: Server, now_ms: float) -> float:
        return warm_fraction(self.settings.rules, server.running_since_ms, now_ms)

    def set_next_warm_up_call_time(
            self, server: Server, min_intervals: float, max_intervals: float, now_ms: float) -> None:
        """Set the earliest time of the next call from this balancer to a cold server.

        The delay is the mean interval between calls times a random factor, from `min_intervals` to
        `max_intervals`. With this mean interval, all balancers together send the server calls at only a
        fraction of the rate at which a warm server has responded. Otherwise they would overload it.
        """
        rate_fraction = (
            self.settings.rules.cold_overload_factor / SLOW_START_SAFETY_FACTOR
            * self._warm_fraction(server, now_ms))
        intervals = self.random.uniform(min_intervals, max_intervals)
        server.next_warm_up_call_ms = now_ms + intervals / (rate_fraction * self.response_rate.peak)

    def can_eject(self, server: Server) -> bool:
        """Whether two thirds of the server's zone stay usable if the server is ejected.

        If more than a third of the zone is failing or slow, the cause is not this server. A zone of one or
        two servers is too small to tell. For it, two thirds of the servers of all zones must stay usable
        instead, and calls spill over to the other zones.
        """
        zone = self.zones[server.endpoint.zone]
        return zone.ejection_margin >= 3 or (
            zone.ready_servers < 3 and sum(z.ejection_margin for z in self.zones.values()) >= 3)

    def keeps_half_after_one_ejection(self) -> bool:
        """Whether at least half of all ready servers stay usable if one more is ejected."""
        ready_servers = sum(z.ready_servers for z in self.zones.values())
        return 2 * (len(self.usable) - 1) >= ready_servers
