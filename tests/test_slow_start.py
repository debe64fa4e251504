"""The age of servers in slow start, also after the wall clock was stepped."""

from __future__ import annotations

import math

import pytest

from honeywharf import interface as api
from honeywharf.policy import slow_start
from tests.balancer_harness import BalancerHarness, make_endpoint, make_settings
from tests.proxy_harness import discovery_entry, run_test, synced_proxy, wait_until

HOUR_MS = 3_600_000.0
COLD_SHARE, WARM_UP_MS = 0.2, 10_000.0
RULES = api.Rules(slow_start_share=COLD_SHARE, warm_up_ms=WARM_UP_MS, poll_interval_ms=10_000)


def list_changes(harness: BalancerHarness, *endpoints: api.Endpoint, list_age_ms: float) -> None:
    """Feed changes to a list that was known to be current `list_age_ms` ago."""
    harness.feed(api.EndpointsListed(
        api.ListKind.CHANGES, endpoints, previous_list_current_ms=harness.now_ms - list_age_ms))


def make_synced_harness() -> BalancerHarness:
    """Return a harness that has had a list for two hours."""
    harness = BalancerHarness(make_settings(rules=RULES))
    harness.feed_list([make_endpoint("a0"), make_endpoint("a1")])
    harness.now_ms += 2 * HOUR_MS
    return harness


def fraction(harness: BalancerHarness, server: str = "a0") -> float:
    host_set = harness.balancer.host_set
    host_set.refresh(harness.now_ms)
    return host_set.servers[server].traffic_fraction


@pytest.mark.parametrize("clock_step_ms", [0.0, -5000.0, -HOUR_MS, 5000.0, HOUR_MS])
@pytest.mark.parametrize("is_new", [False, True])
def test_a_restarted_server_is_cold_whatever_the_wall_clock_shows(
    clock_step_ms: float, is_new: bool,
) -> None:
    """Guards against cold servers that were overloaded because a clock set back made them look warm."""
    harness = make_synced_harness()
    server = "a9" if is_new else "a0"
    restarted = make_endpoint(server, started_ms=harness.now_ms + clock_step_ms)
    list_changes(harness, restarted, list_age_ms=0.0)
    assert fraction(harness, server) == pytest.approx(COLD_SHARE)
    harness.now_ms += WARM_UP_MS / 2
    list_changes(harness, restarted, list_age_ms=0.0)
    assert fraction(harness, server) == pytest.approx((1 + COLD_SHARE) / 2)
    harness.now_ms += WARM_UP_MS / 2  # also with a clock that was set forward, it does not stay cold
    assert fraction(harness, server) == 1.0


@pytest.mark.parametrize(("stated_age_ms", "list_age_ms", "expected_age_ms"), [
    (2000.0, 3000.0, 2000.0),  # the stated age is possible
    (3500.0, 3000.0, 3000.0),  # a start before the last list would have been in it
    (HOUR_MS, 60_000.0, slow_start.MAX_AGE_AT_FIRST_LISTING_MS),
    (HOUR_MS, math.inf, HOUR_MS),  # the first list of a process: nothing else is known
    (-HOUR_MS, math.inf, 0.0),
])
def test_the_age_of_a_server_is_limited_by_the_lists_before(
    stated_age_ms: float, list_age_ms: float, expected_age_ms: float,
) -> None:
    now_ms = 10 * HOUR_MS
    endpoint = make_endpoint("a0", started_ms=now_ms - stated_age_ms)
    running_since_ms = slow_start.StartTimes().running_since_ms(endpoint, now_ms, now_ms - list_age_ms)
    assert running_since_ms == now_ms - expected_age_ms


def test_a_server_that_leaves_the_list_and_returns_keeps_its_age() -> None:
    harness = make_synced_harness()
    endpoint = make_endpoint("a0", started_ms=harness.now_ms)
    list_changes(harness, endpoint, list_age_ms=0.0)
    harness.now_ms += WARM_UP_MS
    list_changes(harness, make_endpoint("a0", state=api.EndpointState.GONE), list_age_ms=0.0)
    list_changes(harness, endpoint, list_age_ms=0.0)
    assert fraction(harness) == 1.0


def test_the_remembered_starts_are_limited() -> None:
    start_times = slow_start.StartTimes()
    for number in range(slow_start.MAX_REMEMBERED_STARTS + 100):
        start_times.running_since_ms(make_endpoint(f"a{number}", started_ms=1.0), 2.0, -math.inf)
    assert len(start_times._starts) == slow_start.MAX_REMEMBERED_STARTS


def test_a_server_that_discovery_lists_with_an_old_start_is_cold_if_the_list_before_lacked_it() -> None:
    async def main() -> None:
        async with synced_proxy([discovery_entry("b", 1)]) as harness:
            servers = harness.proxy.driver.balancer.host_set.servers
            await wait_until(lambda: len(harness.discovery.request_lines) == 2)
            started_ms = harness.proxy.clock.now() - HOUR_MS
            harness.discovery.publish(2, discovery_entry("b", 1, startedAtMs=int(started_ms)))
            await wait_until(lambda: servers["b"].endpoint.started_ms is not None)
            assert servers["b"].warming_up
            assert servers["b"].traffic_fraction < 1.0
    run_test(main())
