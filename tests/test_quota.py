"""The quotas of tenants: which requests are shed first."""

from __future__ import annotations

from honeywharf import interface as api
from tests.balancer_harness import TWO_ZONE_ENDPOINTS, BalancerHarness, make_settings


def test_requests_of_tenants_over_their_quota_are_shed_first() -> None:
    tenants = (api.Tenant("under_quota", 1000.0), api.Tenant("over_quota", 1.0))
    harness = BalancerHarness(make_settings(tenants=tenants, over_quota_worth_factor=0.1))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    accepted = {"under_quota": 0, "over_quota": 0}
    for i in range(40):
        tenant = "over_quota" if i % 2 else "under_quota"
        accepted[tenant] += isinstance(harness.start_request(tenant=tenant)[0], api.Send)
    assert accepted["under_quota"] > 1.5 * accepted["over_quota"] > 0
