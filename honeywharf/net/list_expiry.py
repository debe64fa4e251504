"""The time until which the endpoint list held may be used: watched by a timer, and told to the module."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from honeywharf import interface as api
from honeywharf.net.clock import Clock
from honeywharf.policy.list_freshness import ListFreshness


class ListExpiry:
    """Tells the module until when it may use the list, and calls `on_reached` at that time.

    An overdue list is not used until the next one comes, whatever becomes known without one.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, freshness: ListFreshness,
        notify: Callable[[api.ListExpiryChanged], None], on_reached: Callable[[], None],
    ) -> None:
        self.loop, self.clock, self.freshness = loop, clock, freshness
        self.notify, self.on_reached = notify, on_reached
        self.overdue = False
        self.timer: asyncio.TimerHandle | None = None

    def list_arrived(self) -> None:
        """A list has come and been confirmed; the event that carries it tells the module its time."""
        self.overdue = False
        self.start_timer()

    def confirm(self) -> None:
        """Discovery has had nothing newer than the list held up to now, as far as that is usable at all."""
        now = self.clock.now()
        if not self.overdue and self.freshness.is_usable(now):
            self.freshness.mark_up_to_date(now)
            self._changed()

    def confirm_at_end(self) -> None:
        """The same where its time is just over, and no time has passed for discovery meanwhile."""
        self.freshness.mark_up_to_date(self.clock.now())
        self._changed()

    def move(self) -> None:
        """Discovery has moved."""
        self.freshness.on_address_change(self.clock.now())
        self._changed()

    def expire(self) -> None:
        """Have nothing sent until the next list."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.overdue = True
        self.notify(api.ListExpiryChanged(float("-inf")))

    def start_timer(self) -> None:
        """Come back when the list's time is over."""
        if self.timer is not None:
            self.timer.cancel()
        left_ms = self.freshness.expires_ms - self.clock.now()
        self.timer = self.loop.call_later(max(0.0, left_ms) / 1000.0, self.on_reached)

    def _changed(self) -> None:
        if not self.overdue:
            self.start_timer()
            self.notify(api.ListExpiryChanged(self.freshness.expires_ms))
