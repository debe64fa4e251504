"""The concurrency limits of zones: what is let in, passed over or spilled, and how limits learn."""

from __future__ import annotations

import heapq
import random

import pytest

from honeywharf import interface as api
from tests.helpers import TWO_ZONES, Driver, endpoint, make_settings, only_send


def test_the_wait_for_a_connection_is_no_load() -> None:
    """Guards against limits, typical times and shares that fall as connections come up late."""
    driver = Driver()
    driver.list(TWO_ZONES[:4])
    before = driver.balancer.host_set.zones["a"].limit
    for _ in range(200):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=1000.0, waited_ms=900.0)
    assert driver.balancer.host_set.zones["a"].limit >= before
    assert driver.balancer.outliers.latency.expected_ms["read"] == pytest.approx(100.0)
    assert {s.relative_latency for s in driver.balancer.host_set.servers.values()} == {1.0}


def crowd(driver: Driver, elapsed_ms: float, rounds: int) -> None:
    """Calls at one a millisecond, all answered after `elapsed_ms`."""
    out: list[tuple[float, str]] = []
    for _ in range(rounds):
        driver.now += 1
        while out and out[0][0] <= driver.now:
            _, request = out.pop(0)
            driver.feed(api.AttemptEnded(request, 0, api.Outcome.OK, elapsed_ms, True))
        if any(isinstance(a, api.Send) for a in driver.request()):
            out.append((driver.now + elapsed_ms, f"r{driver.count}"))
    driver.now += elapsed_ms
    for _, request in out:
        driver.feed(api.AttemptEnded(request, 0, api.Outcome.OK, elapsed_ms, True))


def test_a_crowded_zone_spills_its_surplus() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    zones: dict[str, int] = {}
    for _ in range(40):
        for action in driver.request():
            assert isinstance(action, api.Send)
            zones[action.endpoint[0]] = zones.get(action.endpoint[0], 0) + 1
        if zones.get("b"):
            break
    assert zones["a"] >= 4
    assert zones["b"] == 1


def hold(driver: Driver, calls: int) -> dict[str, int]:
    """Calls that nobody answers; the number out at each server."""
    held: dict[str, int] = {}
    for _ in range(calls):
        for action in driver.request():
            if isinstance(action, api.Send):
                held[action.endpoint] = held.get(action.endpoint, 0) + 1
    return held


def test_a_small_server_holds_its_part_by_size_and_is_then_passed_over() -> None:
    """Guards against even calls that bury the small servers of a zone while the large ones sit light."""
    driver = Driver()
    driver.list([endpoint("a0", size=4.0), endpoint("a1", size=1.0), endpoint("a2", size=1.0)])
    for zone in driver.balancer.host_set.zones.values():
        zone.limit = 8.0
    held = hold(driver, 24)
    assert held["a0"] > 2 * held["a1"]
    assert held["a0"] > 2 * held["a2"]


DEAR = api.RequestClass("dear", 1000, 2000, worth=12.0)
CHEAP = api.RequestClass("cheap", 1000, 2000, worth=1.0)


def test_idle_servers_are_not_passed_over_where_many_share_them() -> None:
    """Guards against turning away the class worth least while the whole fleet idles (herd+mass, npc-no-slow).

    Each of many servers has a part of less than one call of the zone's limit, which has room for several.
    """
    driver = Driver(make_settings(classes=(DEAR, CHEAP), balancers=12))
    driver.list([endpoint(f"a{i}") for i in range(30)])
    zone = driver.balancer.host_set.zones["a"]
    for _ in range(100):
        driver.now += 100
        assert zone.limit * zone.capacity > 9
        assert isinstance(driver.request("cheap")[0], api.Send)
        driver.end(api.Outcome.OK, after_ms=50)


def test_deeper_down_calls_stay_in_the_own_zone_where_many_share_it() -> None:
    driver = Driver(make_settings(classes=(DEAR, CHEAP), tier=1, tiers=2, balancers=100))
    driver.list([endpoint(f"{zone}{i}", zone) for zone in "ab" for i in range(30)])
    for _ in range(100):
        assert only_send(driver.request("cheap")).endpoint.startswith("a")
        driver.end(api.Outcome.OK, after_ms=50)


def test_servers_of_which_nothing_is_known_hold_two_calls_a_tier() -> None:
    """Guards against zones that spill at ease, as a call that waits for the next tier fills them."""
    driver = Driver(make_settings(tiers=2, zones=2, balancers=2))
    driver.list(TWO_ZONES)
    held = hold(driver, 14)
    assert sum(n for name, n in held.items() if name.startswith("a")) == 14


def test_full_servers_deeper_down_spill_to_other_zones() -> None:
    """Guards against a zone with few servers for its callers: it chokes while the other zones idle."""
    driver = Driver(make_settings(tier=1, tiers=2))
    driver.list([endpoint("a0"), *TWO_ZONES[4:]])
    held = hold(driver, 16)
    assert held["a0"] <= 6
    assert sum(held.values()) == 16


def test_late_answers_lower_what_is_taken_and_good_ones_raise_it_again() -> None:
    """Guards against jams: servers that answer late must be given less, at the first tier, and early."""
    driver = Driver()
    driver.list(TWO_ZONES)
    crowd(driver, 900.0, 4000)
    low = sum(z.limit for z in driver.balancer.host_set.zones.values())
    crowd(driver, 50.0, 8000)
    high = sum(z.limit for z in driver.balancer.host_set.zones.values())
    assert high > 3 * low


def test_answer_times_that_scatter_within_their_aim_are_no_crowd() -> None:
    """Guards against shedding at ease: the best times ever seen are no measure of the ordinary ones."""
    driver = Driver()
    driver.list(TWO_ZONES)
    scatter = random.Random(5)
    out: list[tuple[float, float, str]] = []
    refused = 0
    for _ in range(6000):
        driver.now += 12.0
        while out and out[0][0] <= driver.now:
            _, elapsed, request = heapq.heappop(out)
            driver.feed(api.AttemptEnded(request, 0, api.Outcome.OK, elapsed, True))
        if isinstance(driver.request()[0], api.Send):
            elapsed = 300.0 * scatter.lognormvariate(-0.18, 0.6)  # of an aim of 1000 ms
            heapq.heappush(out, (driver.now + elapsed, elapsed, f"r{driver.count}"))
        else:
            refused += 1
    assert refused < 150


def test_a_sliver_of_traffic_is_not_turned_away_by_chance() -> None:
    """Guards against limits of less than a call, which refuse whenever one call is out."""
    driver = Driver(make_settings(balancers=300))
    driver.list(TWO_ZONES)
    assert isinstance(driver.request()[0], api.Send)
    assert driver.balancer.host_set.zones["a"].limit * driver.balancer.host_set.zones["a"].capacity < 0.1
    taken = 0
    for _ in range(100):
        driver.now += 100
        sent = [a for a in driver.request() if isinstance(a, api.Send)]
        taken += len(sent)
        if sent:
            driver.end(api.Outcome.OK, after_ms=50)
    assert taken > 90


def test_in_a_crowd_a_sliver_of_room_goes_by_worth() -> None:
    """Guards against cheap requests that fill the one call a crowded balancer may hold (incident i6df7a6)."""
    dear = api.RequestClass("dear", 1000, 2000, worth=10.0)
    cheap = api.RequestClass("cheap", 1000, 2000, worth=1.0)
    driver = Driver(make_settings(classes=(dear, cheap), balancers=1000))
    driver.list(TWO_ZONES)
    taken = {"dear": 0, "cheap": 0}
    for i in range(400):
        driver.now += 1
        name = "cheap" if i % 4 else "dear"
        if any(isinstance(a, api.Send) for a in driver.request(name)):
            taken[name] += 1
            driver.end(api.Outcome.OK, after_ms=3000)  # every answer is late: the limit stays low
    assert taken["dear"] > 80
    assert taken["cheap"] < 0.45 * 300


def test_a_limit_grows_only_where_it_is_used_and_does_not_run_away() -> None:
    """Answers tell of a limit a round trip late: what is let in by then must not jam the servers."""
    driver = Driver()
    driver.list(TWO_ZONES[:4])
    zone = driver.balancer.host_set.zones["a"]
    first = zone.limit
    for _ in range(200):  # one call at a time uses little of the limit
        driver.request()
        driver.end(api.Outcome.OK, after_ms=50.0)
    assert zone.limit == first
    zone.limit = zone.initial_limit * 2.0
    zone.in_flight = 100  # it is all in use, for a second of answers at half of what counts as ease
    for _ in range(20):
        driver.now += 50.0
        zone.adapt_limit(0.5, driver.now)
    assert zone.initial_limit * 2.0 < zone.limit < zone.initial_limit * 3.0
    for _ in range(20):  # and lowering is the faster way
        driver.now += 50.0
        zone.adapt_limit(2.0, driver.now)
    assert zone.limit < zone.initial_limit


@pytest.mark.parametrize("outcome", [
    api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_TIMEOUT, api.Outcome.NOT_SENT])
def test_what_reached_no_server_raises_no_limit(outcome: api.Outcome) -> None:
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list(TWO_ZONES[:4])
    zone = driver.balancer.host_set.zones["a"]
    zone.latency_ratio, before = 0.0, zone.limit
    for _ in range(3):
        driver.request()
        zone.in_flight += 50  # in use
        driver.end(outcome, after_ms=1.0)
        zone.in_flight -= 50
    assert zone.limit == before
    assert all(s.ejections == 0 for s in driver.balancer.host_set.servers.values()) == (
        outcome is api.Outcome.NOT_SENT)


@pytest.mark.parametrize("outcome", [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_what_fails_early_teaches_no_ease_and_what_fails_late_teaches_lateness(outcome: api.Outcome) -> None:
    """Guards against a gate that opens just when calls begin to fail."""
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list(TWO_ZONES[:4])
    zone = driver.balancer.host_set.zones["a"]
    zone.latency_ratio = before = 0.9
    driver.request()
    driver.end(outcome, after_ms=1.0)
    assert zone.latency_ratio == before
    driver.request()
    driver.end(outcome, after_ms=1900.0)
    assert zone.latency_ratio > before
