"""The endpoint directory: parses the lists of service discovery and applies them to the pool."""

from __future__ import annotations

from typing import Any, NamedTuple

from honeywharf import interface as api
from honeywharf.net.config import Address, parse_address
from honeywharf.net.connection_pool import ConnectionPool
from honeywharf.net.log import log

MAX_START_TIME_MS = 1e15
MAX_WEIGHT = 1e9
NO_ADDRESS: Address = ("", 0)  # for a removed endpoint whose entry has no address
LIFECYCLE_STATES = {
    "up": api.EndpointState.READY, "draining": api.EndpointState.DRAINING, "removed": api.EndpointState.GONE,
}


class OlderGenerationError(ValueError):
    """A response has changes up to a generation that is older than the current one.

    Such changes do not apply to the current list: discovery has lost its history, or another service responds
    at its address.
    """


class Entry(NamedTuple):
    """One entry of a list: an endpoint and its address."""

    endpoint: api.Endpoint
    address: Address


def parse_entry(raw: Any) -> Entry:
    """Parse one entry of a list; raise ValueError if it is invalid."""
    if not isinstance(raw, dict):
        raise ValueError("the entry is not an object")
    endpoint_id, state = raw.get("instanceId"), LIFECYCLE_STATES.get(str(raw.get("lifecycle")))
    started, weight, cell = raw.get("startedAtMs") or 0, raw.get("weight", 1.0), raw.get("cell") or 0
    if not isinstance(endpoint_id, str) or not endpoint_id or state is None:
        raise ValueError("the entry lacks an instanceId or a known lifecycle")
    are_numbers = (
        isinstance(started, int | float) and isinstance(weight, int | float) and isinstance(cell, int))
    if not are_numbers or not (0 <= started < MAX_START_TIME_MS and 0 <= weight < MAX_WEIGHT):
        raise ValueError(f"{endpoint_id}: startedAtMs, weight or cell is not a number or out of range")
    removed = state is api.EndpointState.GONE
    host_port = raw.get("hostPort")
    return Entry(
        api.Endpoint(
            endpoint_id, str(raw.get("zone", "")), state, cell, float(started) or None, float(weight),
            str(raw.get("machineType", "")),
        ),
        NO_ADDRESS if removed and not host_port else parse_address(host_port),
    )


class EndpointDirectory:
    """The endpoints and the generation of the current list; it keeps the endpoints of the pool in sync."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.generation = 0
        self.endpoint_ids: set[str] = set()

    def apply(self, raw: Any, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """Apply a list to the pool and return it as an event.

        With a `kind`, the list is a full one of that kind. Without it, the list itself states whether it is
        full. Raise ValueError if `raw` is not a valid list, and OlderGenerationError if it holds changes up
        to a generation older than the current one; then nothing is applied.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
            raise ValueError("the list has no instances")
        generation = raw.get("generation")
        if isinstance(generation, bool) or not isinstance(generation, int):
            raise ValueError("the list has no valid generation")
        full = bool(raw.get("reset")) or kind is not None
        if not full and generation < self.generation:
            raise OlderGenerationError(
                f"received changes to generation {generation}, but the current one is {self.generation}")
        entries = self._parse_entries(raw["instances"])
        if full:
            self._remove_unlisted(entries)
        for entry in entries:
            self._apply_entry(entry)
        self.generation = generation
        kind = kind or (api.ListKind.FULL if full else api.ListKind.CHANGES)
        return api.EndpointsListed(kind, tuple(entry.endpoint for entry in entries), generation)

    def _parse_entries(self, raw_entries: list[Any]) -> list[Entry]:
        entries = []
        for raw in raw_entries:
            try:
                entries.append(parse_entry(raw))
            except ValueError as error:  # One invalid entry must not invalidate the others.
                log(f"discovery: skipped an invalid entry: {error}")
        return entries

    def _remove_unlisted(self, entries: list[Entry]) -> None:
        for endpoint_id in self.endpoint_ids - {entry.endpoint.id for entry in entries}:
            self._remove(endpoint_id)

    def _apply_entry(self, entry: Entry) -> None:
        endpoint = entry.endpoint
        if endpoint.state is api.EndpointState.GONE:
            self._remove(endpoint.id)
            return
        self.endpoint_ids.add(endpoint.id)
        ready = endpoint.state is api.EndpointState.READY
        self.pool.set_endpoint(endpoint.id, entry.address, endpoint.started_ms, accepts_calls=ready)

    def _remove(self, endpoint_id: str) -> None:
        self.endpoint_ids.discard(endpoint_id)
        self.pool.remove_endpoint(endpoint_id)
