"""A tenant's quota at this balancer, enforced with a token bucket."""

from __future__ import annotations

from dataclasses import dataclass

#: A tenant can save up its unused quota of at most this much time. One balancer sees only a few of a tenant's
#: requests, so they arrive unevenly.
QUOTA_BURST_MS = 5000.0


@dataclass(slots=True, eq=False)
class TenantQuota:
    """A token bucket that refills at the tenant's quota divided by the number of balancers.

    One token pays for one request.
    """

    tokens_per_ms: float
    tokens: float
    refilled_ms: float

    def try_take(self, now_ms: float) -> bool:
        """Refill the bucket and take one token; return False if the tenant is over its quota."""
        self.tokens = min(
            QUOTA_BURST_MS * self.tokens_per_ms,
            self.tokens + (now_ms - self.refilled_ms) * self.tokens_per_ms)
        self.refilled_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
