"""The guard against replays: a request whose id has been sent to a server before must not run again."""

from __future__ import annotations

from collections import OrderedDict

#: An id is remembered for this time. A client that asks again does so sooner: the longest deadlines and
#: deduplication windows are a few seconds.
RETENTION_MS = 60_000.0
#: The most ids that are remembered, so that clients cannot fill the memory with ever new ones.
MAX_REMEMBERED_IDS = 8192


class ReplayGuard:
    """Remembers the requests that may have run, by the hashes of their ids.

    Times are in milliseconds on the embedding program's clock, and must never decrease.
    """

    def __init__(self) -> None:
        self._recorded_ms: OrderedDict[int, float] = OrderedDict()  # by the hash of the id, the oldest first

    def record(self, request_id: str, now_ms: float) -> None:
        """Remember a request that may have run."""
        key = hash(request_id)
        self._recorded_ms[key] = now_ms
        self._recorded_ms.move_to_end(key)
        self._forget_expired(now_ms)
        if len(self._recorded_ms) > MAX_REMEMBERED_IDS:
            self._recorded_ms.popitem(last=False)

    def may_have_run(self, request_id: str, now_ms: float) -> bool:
        """Return whether a request with this id is remembered."""
        self._forget_expired(now_ms)
        return hash(request_id) in self._recorded_ms

    def _forget_expired(self, now_ms: float) -> None:
        while self._recorded_ms and next(iter(self._recorded_ms.values())) <= now_ms - RETENTION_MS:
            self._recorded_ms.popitem(last=False)
