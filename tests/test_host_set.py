"""The host set: changes of the endpoint list, priority levels of usable servers, and slow start."""

from __future__ import annotations

import random

import pytest

from honeywharf import interface as api
from tests.helpers import TWO_ZONES, Driver, endpoint, make_settings, only_send


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_draining_and_gone_servers_get_no_calls(state: api.EndpointState) -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list([endpoint("a0", state=state)], api.ListKind.CHANGES)
    assert set(driver.fill(500)) == {"a1", "a2", "a3"}


def test_a_server_missing_from_a_full_list_is_removed() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list(TWO_ZONES[1:])
    assert set(driver.fill(500)) == {"a1", "a2", "a3"}


def test_a_failed_poll_keeps_the_current_endpoint_list() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list([], api.ListKind.FAILED)
    assert set(driver.fill(500)) == {"a0", "a1", "a2", "a3"}


def test_calls_to_a_cold_server_increase_during_warm_up() -> None:
    driver = Driver()
    driver.list([endpoint("a1"), endpoint("a2")])
    driver.fill(9000)  # The balancer learns the response rate of a warm server.
    driver.list([endpoint("a0", started_ms=driver.now), endpoint("a1")])
    calls_while_cold = driver.fill(1000)
    driver.now += 10000
    calls_when_warm = driver.fill(1000)
    # The server starts at 0.2 of its capacity and warms up for one of the ten seconds meanwhile.
    assert calls_while_cold["a0"] / calls_while_cold["a1"] < 0.35
    assert 0.8 < calls_when_warm["a0"] / calls_when_warm["a1"] < 1.25


def test_a_restarted_server_is_cold_again() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1")])
    driver.fill(9000)
    driver.list([endpoint("a0", started_ms=driver.now)], api.ListKind.CHANGES)
    sent = driver.fill(500)
    assert 0.0 < sent["a0"] / sent["a1"] < 0.4


def test_a_cold_server_is_not_overloaded_when_it_is_the_only_server() -> None:
    """A cold server must not get all the traffic when the rest of the fleet is lost (incident i6df7a6)."""
    driver = Driver(make_settings(rules=api.Rules(cold_share=0.2, warm_after_ms=10000, ask_every_ms=10000)))
    driver.list([endpoint(f"a{i}") for i in range(10)])
    driver.fill(9000)
    driver.list([endpoint("a10", started_ms=driver.now)])
    sent = 0
    for _ in range(2000):  # This is two seconds of the traffic of ten warm servers.
        sent += isinstance(driver.request()[0], api.Send)
        driver.end(api.Outcome.OK, after_ms=1.0, request_over=True)
    # One warm server served a tenth of the traffic, which is 200 calls. The cold server has at most 0.4 of
    # that capacity in this time, and three times as many calls would overload it.
    assert 0 < sent < 3 * 0.4 * 200


def test_all_ready_servers_stay_usable_when_all_are_ejected() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    for _ in range(2):
        driver.request()
        driver.end(api.Outcome.RESET, request_over=True)
    sends = [a for _ in range(20) for a in driver.request() if isinstance(a, api.Send)]
    assert sends


@pytest.mark.parametrize(("balancers", "calls_per_s"), [(25, 1.0), (200, 0.3)])
def test_chance_does_not_raise_the_peak_rate_where_many_balancers_see_few_responses(
    balancers: int, calls_per_s: float,
) -> None:
    """All balancers together send a cold server a fraction of this rate, so a rate too high overloads it."""
    rng, peak_rates = random.Random(5), []
    for seed in range(10):
        driver = Driver(make_settings(balancers=balancers), seed)
        driver.list([endpoint(f"a{i}") for i in range(10)])
        for _ in range(round(300 * calls_per_s)):
            driver.now += rng.expovariate(calls_per_s) * 1000.0 - 50.0
            driver.request()
            driver.end(api.Outcome.OK)
        peak_rates.append(driver.balancer.host_set.response_rate.peak)
    assert 0.6 < sum(peak_rates) / len(peak_rates) / (calls_per_s / 1000.0 / 10) < 1.5


def test_a_cold_server_is_not_overloaded_when_it_is_alone_in_its_zone() -> None:
    """The first cold server of a lost zone must not get all calls of the zone (incident i0f1c09)."""
    driver = Driver()
    others = [endpoint(f"b{i}", "b") for i in range(20)]
    driver.list([endpoint("a0", started_ms=driver.now), *others])
    sent = [a.endpoint for _ in range(100) for a in driver.request() if isinstance(a, api.Send)]
    assert len(sent) > 20
    assert sent.count("a0") <= 2


def test_ejected_servers_get_no_calls_when_the_usable_servers_are_full() -> None:
    """Calls must not go to dead servers, even when the live ones are at their limit (incident i0f1c09)."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1"), endpoint("b0", "b")])
    servers = driver.balancer.host_set.servers
    while not (servers["a0"].ejections and servers["a1"].ejections):
        server = only_send(driver.request()).endpoint
        is_alive = server == "b0"
        driver.end(api.Outcome.OK if is_alive else api.Outcome.CONNECT_FAILED, request_over=True)
    sent = [a.endpoint for _ in range(50) for a in driver.request() if isinstance(a, api.Send)]
    assert set(sent) == {"b0"}
    assert len(sent) < 50


def test_a_cold_server_alone_in_its_zone_is_not_overloaded_below_the_first_tier() -> None:
    """Below the first tier, no limit rejects calls: the surplus goes to another zone, and none is refused."""
    driver = Driver(make_settings(tier=1, tiers=2, balancers=30))
    others = [endpoint(f"b{i}", "b") for i in range(20)]
    driver.list([endpoint("a0", started_ms=driver.now), *others])
    sent = [only_send(driver.request()).endpoint for _ in range(200)]
    assert sent.count("a0") <= 20
