"""The freshness of the current endpoint list: until when it may be used, and how long a poll may wait.

The rules for draining servers (`contract` in the settings) deem a proxy notified of a change a fixed time
after discovery had the change, whether or not the proxy received it. From then on, a list that may lack the
change must not be used. The age of a list is therefore measured from the latest time at which discovery is
known to have had nothing newer. It is never measured from the time at which an answer was received, processed
or loaded, because the answer may have been in transit for long, and the process may have been suspended.
"""

from __future__ import annotations

import math

# A proxy is deemed notified of a change this long after discovery had the change and was reachable, even if
# the proxy's polls failed.
MAX_AGE_MS = 6000.0
# After SIGHUP, a proxy is deemed notified of everything that discovery has at the new address this long after
# the signal.
MAX_AGE_AFTER_ADDRESS_CHANGE_MS = 4000.0
# The longest wait of one poll. A broken connection goes unnoticed until the wait is over, and the next poll
# must be answered before the proxy is deemed notified of the changes that it missed. Renewing an active watch
# this often costs little, because such a poll does not queue at discovery.
MAX_WAIT_MS = 4000
# The lower bound of the maximum age where the settings require polls at short intervals. An active watch is
# exempt from that requirement, and renewing it more often would overload discovery.
MAX_AGE_FLOOR_MS = 2000.0
# The fraction of a list's maximum age that is left when the wait of a poll is over. It must suffice to notice
# a missing answer and to send a new poll.
RESERVED_FRACTION_OF_MAX_AGE = 0.25
MIN_WAIT_MS = 100  # for a poll that continues a watch; a shorter wait would be no better than none
# A poll times out if it has no answer this long after its wait: discovery answers within milliseconds.
ANSWER_MARGIN_MS = 500.0
# A poll that may have started a new watch can spend longer than that in discovery's queue. It times out this
# long before the list expires, so that a new poll can still be answered in time.
NEW_POLL_RESERVE_MS = 1000.0
# The longest gap between two polls of one watch. Discovery ends a watch 0.2 s after it wrote its answer, and
# the rest of that time is for the answer and the next poll to arrive.
MAX_POLL_GAP_MS = 150.0


class ListFreshness:
    """Tracks when the current endpoint list was last known to be current, and derives when it expires.

    All times are milliseconds on the caller's clock. A list of unknown age is never usable.
    """

    def __init__(self, poll_interval_ms: float = 0.0) -> None:
        # A proxy that has no watch and has not polled for `poll_interval_ms` is deemed notified of everything
        # that discovery listed that long ago. 0 means that the settings have no such rule.
        notified_after_ms = max(MAX_AGE_FLOOR_MS, poll_interval_ms) if poll_interval_ms > 0 else MAX_AGE_MS
        self.max_age_ms = min(MAX_AGE_MS, notified_after_ms)
        self.last_known_up_to_date_ms = -math.inf  # discovery had nothing newer at this time
        self.expires_ms = -math.inf  # the proxy is deemed notified then of changes that the list may lack

    def mark_up_to_date(self, at_ms: float) -> None:
        """Record that discovery had nothing newer than the current list at that time."""
        self.last_known_up_to_date_ms = max(self.last_known_up_to_date_ms, at_ms)
        self.expires_ms = max(self.expires_ms, at_ms + self.max_age_ms)

    def record_response(self, sent_ms: float, wait_ms: float, *, unchanged: bool, now_ms: float) -> None:
        """Record the answer to a poll, which holds at least what discovery had when the poll was sent.

        Discovery writes an answer without changes once the wait is over, so such an answer proves that the
        list was current until then. If it arrives earlier, it proves this only for the time of the poll.
        """
        waited_in_full = unchanged and now_ms >= sent_ms + wait_ms
        self.mark_up_to_date(sent_ms + wait_ms if waited_in_full else sent_ms)

    def on_address_change(self, now_ms: float) -> None:
        """Make the list expire sooner, because discovery has a new address from now on."""
        self.expires_ms = min(self.expires_ms, now_ms + MAX_AGE_AFTER_ADDRESS_CHANGE_MS)

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the list has not expired yet."""
        return now_ms < self.expires_ms

    def is_watch_active(self, now_ms: float) -> bool:
        """Return whether a poll sent now is certain to continue the watch.

        `last_known_up_to_date_ms` is the earliest time at which discovery can have written its last response,
        so the gap is measured from there.
        """
        return now_ms <= self.last_known_up_to_date_ms + MAX_POLL_GAP_MS

    def long_poll_timeout_ms(self, sent_ms: float, wait_ms: float) -> float:
        """Return the timeout of a poll that was sent to continue a watch."""
        after_wait_ms = wait_ms + ANSWER_MARGIN_MS
        if self.is_watch_active(sent_ms):
            return after_wait_ms
        until_reserve_ms = self.expires_ms - sent_ms - NEW_POLL_RESERVE_MS
        return max(after_wait_ms, min(MAX_WAIT_MS + ANSWER_MARGIN_MS, until_reserve_ms))

    def wait_ms(self, now_ms: float) -> int:
        """Return how long a poll that continues a watch may wait for changes."""
        longest_ms = self.expires_ms - now_ms - RESERVED_FRACTION_OF_MAX_AGE * self.max_age_ms
        return int(max(MIN_WAIT_MS, min(MAX_WAIT_MS, longest_ms)))
