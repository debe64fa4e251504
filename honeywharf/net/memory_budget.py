"""The memory that messages in transit may hold, derived from the memory limit of the process."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.net.config import MEGABYTE

#: What the process holds besides messages: the interpreter, the libraries, the connections and the list of
#: thousands of servers.
BASE_MEMORY_BYTES = 36 * MEGABYTE
#: The part of the remaining memory that messages may hold. The allocator needs the rest: it cannot reuse or
#: return all of the memory that is freed.
MESSAGE_MEMORY_SHARE = 1 / 2
#: Messages may hold this much in any case. Otherwise a process with little memory could serve nothing.
MIN_MESSAGE_MEMORY_BYTES = 3 * MEGABYTE
#: A budget allows this much, however scarce the memory of the process is: a few requests of any size.
MIN_BUDGET_BYTES = 256 * 1024
#: More than this is of no use to the responses that are being received.
MAX_RESPONSE_MEMORY_BYTES = 8 * MEGABYTE


#: What the proxy holds for each endpoint: its entry, and its state in the pool and in the balancer.
ENDPOINT_BYTES = 2000
#: However little memory there is, lists of this many endpoints are accepted.
MIN_MAX_ENDPOINTS = 4096
#: The process is measured after this much has been received, between the regular measurements.
GROWTH_PER_CHECK_BYTES = 256 * 1024


class MemoryBudget:
    """Counts the bytes that a group of messages holds, against a limit.

    What has been received is counted once it is held. If the budget is then exceeded, its owner frees memory.
    `fraction` is the part of the limit that may be used while the memory of the process is scarce.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.fraction = 1.0
        self.used_bytes = 0
        #: Called after each `GROWTH_PER_CHECK_BYTES` that have been counted, so that the process is measured.
        self.on_growth: Callable[[], object] = lambda: None
        self._growth_bytes = 0

    def change(self, change_bytes: int) -> None:
        """Count this many more bytes, or fewer if the number is negative."""
        self.used_bytes += change_bytes
        if change_bytes > 0:
            self._growth_bytes += change_bytes
            if self._growth_bytes >= GROWTH_PER_CHECK_BYTES:
                self._growth_bytes = 0
                self.on_growth()

    @property
    def exceeded(self) -> bool:
        """Whether more is in use than may be."""
        return self.used_bytes > max(
            self.fraction * self.limit_bytes, min(self.limit_bytes, MIN_BUDGET_BYTES))


def split_message_memory(max_memory_bytes: int) -> tuple[int, int]:
    """Divide the memory of a process between clients and backends.

    `max_memory_bytes` is the limit of the process. Returns the limits in bytes for what clients hold (their
    requests and the responses to them) and for the responses that are being received from backends.
    """
    available = int((max_memory_bytes - BASE_MEMORY_BYTES) * MESSAGE_MEMORY_SHARE)
    message_memory = max(MIN_MESSAGE_MEMORY_BYTES, available)
    response_memory = min(MAX_RESPONSE_MEMORY_BYTES, message_memory // 2)
    return message_memory - response_memory, response_memory


def max_endpoints(max_memory_bytes: int) -> int:
    """Return how many endpoints a process with this memory limit may list: half of its memory is for them."""
    return max(MIN_MAX_ENDPOINTS, max_memory_bytes // 2 // ENDPOINT_BYTES)
