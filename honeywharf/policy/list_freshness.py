"""The freshness of the current endpoint list: until when it may be used, and how long a poll may wait.

A poll is one HTTP request to discovery. A long poll waits at discovery until there is a change, at most for a
given time. A watch is the chain of long polls that discovery keeps open.

Each change at discovery has a propagation deadline, a fixed time after discovery learned of it. From then on
the proxy must obey the change, whether or not a response with it has arrived: for example, it must stop
sending calls to a draining server (`contract` in the settings). A list that is older than this time may lack
such a change, and a proxy that used it might break the rules for draining servers. The list therefore expires
and is not used any more.

The age of a list is measured from the latest time at which discovery is known to have had nothing newer. It
is never measured from the time at which a response was received, processed or loaded, because the response
may have been in transit for long, and the process may have been suspended.
"""

from __future__ import annotations

import math

# A list older than this may lack a change whose propagation deadline has passed: the deadline is this long
# after discovery had the change and was reachable, even if the proxy's polls failed.
MAX_AGE_MS = 6000.0
# A proxy re-reads the address of discovery on SIGHUP. The propagation deadline of everything that discovery
# lists at the new address is this long after the signal.
MAX_AGE_AFTER_ADDRESS_CHANGE_MS = 4000.0
# The longest wait of one long poll. A broken connection goes unnoticed until the wait is over. The response
# to the next poll must then arrive before the propagation deadline of the changes that the proxy missed.
# Renewing an active watch this often costs little, because such a poll does not queue at discovery.
MAX_WAIT_MS = 4000
# If the settings have a poll interval, the maximum age is that interval, but at least this time and at most
# MAX_AGE_MS. An active watch is exempt from shorter poll intervals, and renewing it more often would overload
# discovery.
MAX_AGE_FLOOR_MS = 2000.0
# The fraction of a list's maximum age that is left when the wait of a poll is over. It must suffice to notice
# that no response has arrived and to send a new poll.
RESERVED_FRACTION_OF_MAX_AGE = 0.25
# The shortest wait of a poll that continues a watch. A still shorter wait would be no better than none.
MIN_WAIT_MS = 100
# A poll times out if no response has arrived this long after its wait is over. Discovery responds within
# milliseconds then.
RESPONSE_MARGIN_MS = 500.0
# A poll that may have started a new watch can spend longer than RESPONSE_MARGIN_MS in discovery's queue, so
# its timeout may be longer. The extended timeout ends this long before the list expires, so that the response
# to another poll can still arrive.
TIME_RESERVED_FOR_NEXT_POLL_MS = 1000.0
# The longest time from a response of discovery to the next poll of the same watch. Discovery ends a watch 200
# ms after it wrote a response, if no poll has arrived by then. The other 50 ms are for the response and the
# next poll to be in transit.
MAX_POLL_GAP_MS = 150.0


class ListFreshness:
    """Tracks when the current endpoint list was last known to be up to date, and derives when it expires.

    All times are in milliseconds on the embedding program's clock. A list of unknown age is never usable.
    """

    def __init__(self, poll_interval_ms: float = 0.0) -> None:
        # If the proxy has no watch and has not polled for `poll_interval_ms`, the propagation deadline has
        # passed for each change that discovery listed at least that long ago. 0 means that the settings have
        # no such rule.
        required_max_age_ms = max(MAX_AGE_FLOOR_MS, poll_interval_ms) if poll_interval_ms > 0 else MAX_AGE_MS
        self.max_age_ms = min(MAX_AGE_MS, required_max_age_ms)
        self.last_known_up_to_date_ms = -math.inf  # discovery had nothing newer at this time
        # From this time the list may lack changes whose propagation deadline has passed.
        self.expires_ms = -math.inf

    def mark_up_to_date(self, at_ms: float) -> None:
        """Record that discovery had nothing newer than the current list at that time."""
        self.last_known_up_to_date_ms = max(self.last_known_up_to_date_ms, at_ms)
        self.expires_ms = max(self.expires_ms, at_ms + self.max_age_ms)

    def record_response(self, sent_ms: float, wait_ms: float, *, unchanged: bool, now_ms: float) -> None:
        """Record the response to a poll, which holds at least what discovery had when the poll was sent.

        Discovery writes a response without changes once the wait is over, so such a response proves that the
        list was up to date until then. If it arrives earlier, it proves this only for the time at which the
        poll was sent.
        """
        waited_in_full = unchanged and now_ms >= sent_ms + wait_ms
        self.mark_up_to_date(sent_ms + wait_ms if waited_in_full else sent_ms)

    def on_address_change(self, now_ms: float) -> None:
        """Make the list expire sooner, if necessary, because discovery has a new address from now on."""
        self.expires_ms = min(self.expires_ms, now_ms + MAX_AGE_AFTER_ADDRESS_CHANGE_MS)

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the list has not expired yet."""
        return now_ms < self.expires_ms

    def is_watch_active(self, now_ms: float) -> bool:
        """Return whether a poll that is sent now is certain to continue the watch.

        The gap since the last response is measured from `last_known_up_to_date_ms`, because that is the
        earliest time at which discovery can have written this response.
        """
        return now_ms <= self.last_known_up_to_date_ms + MAX_POLL_GAP_MS

    def long_poll_timeout_ms(self, sent_ms: float, wait_ms: float) -> float:
        """Return the timeout of a poll that was sent to continue a watch."""
        after_wait_ms = wait_ms + RESPONSE_MARGIN_MS
        if self.is_watch_active(sent_ms):
            return after_wait_ms
        available_ms = self.expires_ms - sent_ms - TIME_RESERVED_FOR_NEXT_POLL_MS
        return max(after_wait_ms, min(MAX_WAIT_MS + RESPONSE_MARGIN_MS, available_ms))

    def wait_ms(self, now_ms: float) -> int:
        """Return how long a poll that continues a watch may wait for changes."""
        longest_ms = self.expires_ms - now_ms - RESERVED_FRACTION_OF_MAX_AGE * self.max_age_ms
        return int(max(MIN_WAIT_MS, min(MAX_WAIT_MS, longest_ms)))
