"""The expiry of the current endpoint list: its timer, and the notifications to the balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from honeywharf import interface as api
from honeywharf.net.clock import Clock
from honeywharf.policy.list_freshness import ListFreshness


class ListExpiry:
    """Notifies the balancer when the list's expiry time changes, and calls `on_expiry_due` at that time.

    An expired list stays expired until the next list arrives, even if discovery turns out to be down or to
    have had no changes.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, freshness: ListFreshness,
        notify: Callable[[api.ListExpiryChanged], None], on_expiry_due: Callable[[], None],
    ) -> None:
        self.loop, self.clock, self.freshness = loop, clock, freshness
        self.notify, self.on_expiry_due = notify, on_expiry_due
        self.expired = False
        self.timer: asyncio.TimerHandle | None = None

    def on_list_received(self) -> None:
        """Restart the timer for a new list; the event with the list gives the balancer its expiry time."""
        self.expired = False
        self.start_timer()

    def confirm_current(self) -> None:
        """Record that discovery has nothing newer than the list, unless the list has expired already."""
        now = self.clock.now()
        if not self.expired and self.freshness.is_usable(now):
            self.freshness.mark_up_to_date(now)
            self._restart_timer_and_notify()

    def confirm_current_at_expiry(self) -> None:
        """Record that discovery has nothing newer than the list, even though its expiry time has come."""
        self.freshness.mark_up_to_date(self.clock.now())
        self._restart_timer_and_notify()

    def expire_sooner(self) -> None:
        """Make the list expire sooner, because the address of discovery has changed."""
        self.freshness.on_address_change(self.clock.now())
        self._restart_timer_and_notify()

    def expire(self) -> None:
        """Expire the list, so that the balancer sends nothing until the next list arrives."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.expired = True
        self.notify(api.ListExpiryChanged(float("-inf")))

    def start_timer(self) -> None:
        """Start or restart the timer that fires when the list's expiry time comes."""
        if self.timer is not None:
            self.timer.cancel()
        left_ms = self.freshness.expires_ms - self.clock.now()
        self.timer = self.loop.call_later(max(0.0, left_ms) / 1000.0, self.on_expiry_due)

    def _restart_timer_and_notify(self) -> None:
        if not self.expired:
            self.start_timer()
            self.notify(api.ListExpiryChanged(self.freshness.expires_ms))
