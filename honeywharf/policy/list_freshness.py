"""The freshness of the endpoint list held: until when it may be used, and how long a poll may wait.

A change counts as told so long after discovery had it, whether or not it arrived. So the list's age counts
from the latest moment at which discovery is known to have had nothing newer. That moment is never taken from
when an answer was received, processed or loaded: an answer may be under way for long, and a process held up.
"""

from __future__ import annotations

import math

# A change counts as told so long after discovery had it and could be reached, whatever became of the polls;
# after SIGHUP all that the new address has counts, so long after the signal.
MAX_AGE_MS = 6000.0
MAX_AGE_AFTER_ADDRESS_CHANGE_MS = 4000.0
# The longest wait of one poll: a cut connection says nothing until it is over, and the next poll has to be
# answered before what was missed counts as told. Renewing a standing watch does not queue at discovery.
MAX_WAIT_MS = 4000
# Where the settings ask for calls in quicker succession, a list's greatest age is theirs, but not under this:
# a watch that stands is exempt, and renewing it more often would load discovery.
MAX_AGE_FLOOR_MS = 2000.0
# Of a list's greatest age, what is left once the wait is over: for noticing that there is no answer, and for
# a new poll.
RESERVED_FRACTION_OF_MAX_AGE = 0.25
MIN_WAIT_MS = 100  # of a poll that continues a watch: a shorter one might as well not wait
# A poll without an answer so long after its wait has fallen silent: discovery answers within milliseconds.
ANSWER_MARGIN_MS = 500.0
# But one that may have begun a new watch may stand in discovery's queue. It is given up so long before the
# list may not be used any more, for a new poll to be answered in time.
NEW_POLL_RESERVE_MS = 1000.0
# Between two polls of one watch: discovery ends it 0.2 s after it wrote its answer, less the way there.
MAX_POLL_GAP_MS = 150.0


class ListFreshness:
    """When the list held was last known to be current, and what follows from that.

    All times are milliseconds on the caller's clock. A list of unknown age is never usable.
    """

    def __init__(self, ask_every_ms: float = 0.0) -> None:
        # A balancer without a watch that has not asked for so long is deemed told of what was listed that
        # long ago; 0 where the settings say nothing of it.
        told_ms = max(MAX_AGE_FLOOR_MS, ask_every_ms) if ask_every_ms > 0 else MAX_AGE_MS
        self.max_age_ms = min(MAX_AGE_MS, told_ms)
        self.last_known_current_ms = -math.inf  # discovery had nothing newer then
        self.expires_ms = -math.inf  # changes that the list may lack count as told from then on

    def mark_current(self, at_ms: float) -> None:
        """Discovery had nothing newer than the list held at that time."""
        self.last_known_current_ms = max(self.last_known_current_ms, at_ms)
        self.expires_ms = max(self.expires_ms, at_ms + self.max_age_ms)

    def record_answer(self, sent_ms: float, wait_ms: float, *, unchanged: bool, now_ms: float) -> None:
        """Take in the answer to a poll: it holds all that discovery had when the poll was sent, at least.

        One that tells of no change was written once the wait had passed, and tells it for that time.
        """
        waited = unchanged and now_ms >= sent_ms + wait_ms
        self.mark_current(sent_ms + wait_ms if waited else sent_ms)

    def on_address_change(self, now_ms: float) -> None:
        """Discovery has moved: what the new address has counts as told sooner."""
        self.expires_ms = min(self.expires_ms, now_ms + MAX_AGE_AFTER_ADDRESS_CHANGE_MS)

    def is_usable(self, now_ms: float) -> bool:
        """Whether the list may be used."""
        return now_ms < self.expires_ms

    def is_watch_active(self, now_ms: float) -> bool:
        """Whether a poll sent now is sure to continue the watch.

        Its last answer, written at `current_at_ms` at the earliest, must be younger than the gap allowed.
        """
        return now_ms <= self.last_known_current_ms + MAX_POLL_GAP_MS

    def long_poll_timeout_ms(self, sent_ms: float, wait_ms: float) -> float:
        """How long a poll that was sent to continue a watch may take."""
        after_wait_ms = wait_ms + ANSWER_MARGIN_MS
        if self.is_watch_active(sent_ms):
            return after_wait_ms
        spare_ms = self.expires_ms - sent_ms - NEW_POLL_RESERVE_MS
        return max(after_wait_ms, min(MAX_WAIT_MS + ANSWER_MARGIN_MS, spare_ms))

    def wait_ms(self, now_ms: float) -> int:
        """How long a poll that continues a watch may wait for changes."""
        longest = self.expires_ms - now_ms - RESERVED_FRACTION_OF_MAX_AGE * self.max_age_ms
        return int(max(MIN_WAIT_MS, min(MAX_WAIT_MS, longest)))
