"""The quota of a tenant at this balancer, as a token bucket."""

from __future__ import annotations

from dataclasses import dataclass

QUOTA_BURST_MS = 5000.0  # of its share that a tenant may save: one balancer sees few of its calls


@dataclass(slots=True, eq=False)
class TenantQuota:
    """A token bucket for one tenant's share at this balancer: its quota divided by the balancers."""

    tokens_per_ms: float
    tokens: float
    refilled_ms: float

    def try_take(self, now: float) -> bool:
        """Whether one more request is within the share."""
        self.tokens = min(
            QUOTA_BURST_MS * self.tokens_per_ms,
            self.tokens + (now - self.refilled_ms) * self.tokens_per_ms)
        self.refilled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
