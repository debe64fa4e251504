"""The endpoint directory: converts the lists of service discovery and applies them to the pool."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, NamedTuple, cast

from honeywharf import interface as api
from honeywharf.net.config import Address, parse_address
from honeywharf.net.connection_pool import ConnectionPool
from honeywharf.net.list_parser import ListParser
from honeywharf.net.log import log
from honeywharf.net.memory_budget import MIN_MAX_ENDPOINTS

MAX_START_TIME_MS = 1e15
MAX_WEIGHT = 1e9
USUAL_WEIGHT = 1.0  # one object for all endpoints
MAX_NAME_LENGTH = 256  # of an instance, a zone or a machine type, and of an address
MAX_LOGGED_INVALID_ENTRIES = 3  # for each list
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
    """One entry of a list: an endpoint and its address. The pool keeps it as a `ListedBackend`."""

    endpoint: api.Endpoint
    address: Address

    @property
    def started_ms(self) -> float | None:
        """When its process started, as discovery states it."""
        return self.endpoint.started_ms

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to it."""
        return self.endpoint.state is api.EndpointState.READY


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
    zone, machine_type = str(raw.get("zone", "")), str(raw.get("machineType", ""))
    removed = state is api.EndpointState.GONE
    host_port = raw.get("hostPort")
    if max(len(endpoint_id), len(zone), len(machine_type), len(str(host_port))) > MAX_NAME_LENGTH:
        raise ValueError(f"{endpoint_id[:MAX_NAME_LENGTH]}: a name or the address is too long")
    return Entry(
        api.Endpoint(
            endpoint_id, sys.intern(zone), state, cell, float(started) or None,
            USUAL_WEIGHT if weight == USUAL_WEIGHT else float(weight),
            sys.intern(machine_type),
        ),
        NO_ADDRESS if removed and not host_port else parse_address(host_port),
    )


class EndpointList(NamedTuple):
    """A list from discovery, or from the configuration."""

    generation: int
    is_full: bool
    entries: list[Entry]


def make_endpoint_list(members: Mapping[str, Any], entries: list[Entry]) -> EndpointList:
    """Make a list from its entries and its other members; raise ValueError if it has no valid generation."""
    generation = members.get("generation")
    if isinstance(generation, bool) or not isinstance(generation, int):
        raise ValueError("the list has no valid generation")
    return EndpointList(generation, bool(members.get("reset")), entries)


class EntryConverter:
    """Converts the entries of one list from JSON.

    An entry that has not changed is replaced by that of the current list, so that no second one is kept. One
    that has changed shares its id and its address with that.
    """

    def __init__(self, current: Mapping[str, Entry], max_entries: int) -> None:
        self.current, self.max_entries = current, max_entries
        self.count = self.invalid_count = 0

    def convert(self, raw: Any) -> Entry | None:
        """Return the entry, or None if it is invalid; raise ValueError if there are too many entries."""
        self.count += 1
        if self.count > self.max_entries:
            raise ValueError(f"the list has more than {self.max_entries} entries")
        try:
            entry = parse_entry(raw)
        except ValueError as error:  # One invalid entry must not invalidate the others.
            self.invalid_count += 1
            if self.invalid_count <= MAX_LOGGED_INVALID_ENTRIES:
                log(f"discovery: skipped an invalid entry: {error}")
            return None
        current = self.current.get(entry.endpoint.id)
        if current is None or current == entry:
            return current or entry
        address = current.address if current.address == entry.address else entry.address
        return Entry(replace(entry.endpoint, id=current.endpoint.id), address)


class EndpointDirectory:
    """The endpoints and the generation of the current list; it keeps the endpoints of the pool in sync."""

    def __init__(self, pool: ConnectionPool, max_endpoints: int = MIN_MAX_ENDPOINTS) -> None:
        self.pool, self.max_endpoints = pool, max_endpoints
        self.generation = 0

    @property
    def entries(self) -> Mapping[str, Entry]:
        """The entries of the current list by their endpoint's id, without removed ones; the pool has them."""
        return cast(Mapping[str, Entry], self.pool.endpoints)

    def new_list_parser(self) -> ListParser[Entry]:
        """Return a parser for the next list."""
        return ListParser(EntryConverter(self.entries, self.max_endpoints).convert)

    def apply_cached(self, raw: Mapping[str, Any]) -> api.EndpointsListed:
        """Apply the list of the last run; raise ValueError if it is invalid.

        The entries are taken out of the list, so that they are not held twice.
        """
        raw_entries = raw.get("instances")
        if not isinstance(raw_entries, list):
            raise ValueError("the list has no instances")
        converter, entries = EntryConverter(self.entries, self.max_endpoints), []
        raw_entries.reverse()
        while raw_entries:
            entry = converter.convert(raw_entries.pop())
            if entry is not None:
                entries.append(entry)
        return self.apply(make_endpoint_list(raw, entries), api.ListKind.CACHED)

    def apply(self, new: EndpointList, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """Apply a list to the pool and return it as an event.

        With a `kind`, the list is a full one of that kind. Without it, the list itself states whether it is
        full. Raise OlderGenerationError if it holds changes up to a generation older than the current one,
        and ValueError if there would be too many endpoints; then nothing is applied.
        """
        full = new.is_full or kind is not None
        if not full and new.generation < self.generation:
            raise OlderGenerationError(
                f"received changes to generation {new.generation}, but the current one is {self.generation}")
        added_count = sum(entry.endpoint.id not in self.entries for entry in new.entries)
        if not full and len(self.entries) + added_count > self.max_endpoints:
            raise ValueError(f"there would be more than {self.max_endpoints} endpoints")
        if full:
            self._remove_unlisted(new.entries)
        for entry in new.entries:
            self._apply_entry(entry)
        self.generation = new.generation
        kind = kind or (api.ListKind.FULL if full else api.ListKind.CHANGES)
        return api.EndpointsListed(kind, tuple(entry.endpoint for entry in new.entries), new.generation)

    def _remove_unlisted(self, entries: list[Entry]) -> None:
        for endpoint_id in self.entries.keys() - {entry.endpoint.id for entry in entries}:
            self.pool.remove_endpoint(endpoint_id)

    def _apply_entry(self, entry: Entry) -> None:
        endpoint = entry.endpoint
        if endpoint.state is api.EndpointState.GONE:
            self.pool.remove_endpoint(endpoint.id)
        elif self.entries.get(endpoint.id) is not entry:
            self.pool.update_endpoint(endpoint.id, entry)
