"""Random delays before retries, which grow with each failure in a row."""

from __future__ import annotations

import random

#: The first delay is a random time in this range. Both bounds double with each further failure.
INITIAL_RANGE_S = (0.02, 0.1)
MAX_DOUBLINGS = 6


class Backoff:
    """The delays before the retries of one activity; `failure_count` is the number of failures in a row."""

    def __init__(self, max_delay_s: float) -> None:
        self.max_delay_s = max_delay_s
        self.failure_count = 0
        self._random = random.Random()

    def reset(self) -> None:
        """Start anew after a success."""
        self.failure_count = 0

    def next_delay_s(self) -> float:
        """Count a failure and return the delay that follows it."""
        factor = 2 ** min(self.failure_count, MAX_DOUBLINGS)
        shortest, longest = (min(self.max_delay_s, bound * factor) for bound in INITIAL_RANGE_S)
        self.failure_count += 1
        return self._random.uniform(shortest, longest)
