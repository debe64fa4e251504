"""A poll of discovery: what it requests, and how it is described in the log."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

INSTANCES_PATH = "/registry/instances"


@dataclass(slots=True, eq=False)
class Poll:
    """One poll of discovery."""

    number: int  # identifies the poll in the log
    sent_ms: float
    is_full: bool = False  # requests the full list
    # A long poll continues a watch, as far as the proxy knows, and waits for changes. Other polls may queue
    # at discovery before it responds.
    is_long: bool = False
    wait_ms: int = 0
    response_started_ms: float | None = None
    response_timer: asyncio.TimerHandle | None = None  # fires if the response is incomplete for too long
    work_ms: float = 0.0  # the time that its response has taken to parse and to apply

    def target(self, generation: int) -> str:
        """Return the target of its request, given the generation of the current list."""
        if self.is_full:
            return INSTANCES_PATH
        return f"{INSTANCES_PATH}?after={generation}&wait_ms={self.wait_ms}"

    def describe(self, now_ms: float) -> str:
        """Describe it by its number, the time since it was sent, and how long it may wait for changes."""
        waits = f" of which {self.wait_ms} ms may wait" if self.is_long else ""
        return f"poll {self.number} for {now_ms - self.sent_ms:.0f} ms{waits}"
