"""Slow start: since when servers have been running, and which share of their capacity they are sure to have.

Discovery states the start of a server in Unix time. A wall clock may be stepped, by seconds or by an hour, so
such a time alone does not tell the age of a server: after a step back, a server that has just started would
count as warm. What the balancer has seen itself limits the age: a start that the previous list lacks was
listed after that list was known to be current.
"""

from __future__ import annotations

from typing import NamedTuple

from honeywharf import interface as api

#: A watch tells of a start within this time, so no server is taken to be older when its start is first listed
#: later than the time that discovery states.
MAX_AGE_AT_FIRST_LISTING_MS = 4000.0
#: Starts are remembered beyond the removal of their server, because a server may leave the list and return.
MAX_REMEMBERED_STARTS = 8192


class Start(NamedTuple):
    """A start of a server: the Unix time that discovery states, and the same on the balancer's clock."""

    stated_ms: float
    running_since_ms: float


class StartTimes:
    """Since when the servers have been running, on the balancer's clock.

    The time is determined when a start is first listed. From then on the balancer's clock alone counts.
    """

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}

    def running_since_ms(
        self, endpoint: api.Endpoint, now_ms: float, previous_list_current_ms: float,
    ) -> float | None:
        """Return since when the server has been running, or None if it started long ago.

        `previous_list_current_ms`: the latest time at which the list before this one is known to have been
        current, or -inf.
        """
        stated_ms = endpoint.started_ms
        if stated_ms is None:
            return None
        known = self._starts.get(endpoint.id)
        if known is not None and known.stated_ms == stated_ms:
            return known.running_since_ms
        running_since_ms = stated_ms
        if stated_ms > now_ms:
            running_since_ms = now_ms
        elif stated_ms < previous_list_current_ms:
            running_since_ms = max(previous_list_current_ms, now_ms - MAX_AGE_AT_FIRST_LISTING_MS)
        self._starts.pop(endpoint.id, None)
        self._starts[endpoint.id] = Start(stated_ms, running_since_ms)
        if len(self._starts) > MAX_REMEMBERED_STARTS:
            del self._starts[next(iter(self._starts))]
        return running_since_ms


def warm_fraction(rules: api.Rules, running_since_ms: float | None, now_ms: float) -> float:
    """Return the fraction of its full capacity that a server is sure to have, by the time since its start.

    The server gets at most the same fraction of an equal share of the calls. Otherwise it would be overloaded
    while it is cold.
    """
    if running_since_ms is None or rules.warm_up_ms <= 0:
        return 1.0
    age = max(0.0, now_ms - running_since_ms) / rules.warm_up_ms
    return min(1.0, rules.slow_start_share + (1.0 - rules.slow_start_share) * age)
