"""Outlier detection: which servers are ejected, for how long, and for which classes."""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.helpers import TWO_ZONES, Driver, endpoint, make_settings, only_send


def end_calls_at(
    driver: Driver, server: str, outcome: api.Outcome, times: int, class_name: str = "read",
) -> None:
    """Make calls until that many at the server have ended with the outcome; calls elsewhere succeed."""
    while times:
        at_server = only_send(driver.request(class_name)).endpoint == server
        times -= at_server
        driver.end(outcome if at_server else api.Outcome.OK, after_ms=1.0, request_over=True)


def test_failed_connections_eject_a_server_and_a_trial_call_readmits_it() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    end_calls_at(driver, "a0", api.Outcome.CONNECT_FAILED, 2)
    assert "a0" not in driver.fill(300)
    driver.now += 4000
    assert "a0" in driver.fill(300)


@pytest.mark.parametrize("outcome", [
    api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_TIMEOUT, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_one_broken_or_silent_connection_does_not_eject_the_server(outcome: api.Outcome) -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.fill(100)
    end_calls_at(driver, "a0", outcome, 1)
    assert "a0" in driver.fill(300)
    assert driver.balancer.host_set.servers["a0"].ejections == 0


def test_a_refused_connection_weighs_more_than_a_connect_timeout() -> None:
    """Connect timeouts at all servers must not empty all zones: they do not show that a process is dead."""
    for outcome, ejected in ((api.Outcome.CONNECT_FAILED, 3), (api.Outcome.CONNECT_TIMEOUT, 1)):
        driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
        driver.list(TWO_ZONES[:4])
        driver.fill(100)
        servers = driver.balancer.host_set.servers
        for name in list(servers)[:3]:
            end_calls_at(driver, name, outcome, 4)
        assert sum(s.ejections > 0 for s in servers.values()) == ejected, outcome


def test_consecutive_errors_eject_a_server() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b"), endpoint("b1", "b")])
    driver.fill(4, api.Outcome.ERROR)
    assert set(driver.fill(50)) == {"b0", "b1"}


def test_errors_of_a_tier_behind_all_servers_do_not_empty_a_zone() -> None:
    """Errors that all servers return are not their own, and the other zones could not serve all calls."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1"), endpoint("b0", "b"), endpoint("b1", "b")])
    driver.fill(40, api.Outcome.ERROR)
    assert sum(s.ejections > 0 for s in driver.balancer.host_set.servers.values()) == 1
    driver.now += 20000
    assert set(driver.fill(200)) == {"a0", "a1"}


def test_the_only_failing_server_is_ejected_while_another_is_ejected() -> None:
    """Otherwise it would attract most calls, because it fails fast and so always has free capacity."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(2)] + [endpoint(f"b{i}", "b") for i in range(2)])
    driver.fill(200)
    servers = driver.balancer.host_set.servers
    driver.balancer.outliers.eject(servers["b0"], 60000.0, driver.balancer.now)
    for _ in range(60):
        fails = only_send(driver.request()).endpoint == "a0"
        driver.end(api.Outcome.ERROR if fails else api.Outcome.OK, after_ms=1.0, request_over=True)
    assert servers["a0"].ejections == 1
    assert servers["a1"].ejections == 0


def test_one_error_does_not_eject() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    driver.fill(1, api.Outcome.ERROR)
    assert set(driver.fill(50)) == {"a0"}


def answer_calls(driver: Driver, calls: int, slow_servers: set[str]) -> set[str]:
    """Make calls that take 10 ms, or 100 ms at the slow servers; return the servers that received some."""
    sent: set[str] = set()
    for _ in range(calls):
        for action in driver.request():
            if isinstance(action, api.Send):
                sent.add(action.endpoint)
                driver.end(api.Outcome.OK, after_ms=100.0 if action.endpoint in slow_servers else 10.0)
    return sent


def test_a_slow_server_is_ejected() -> None:
    """An overloaded server that keeps answering must not keep its share of the calls."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    answer_calls(driver, 100, set())
    answer_calls(driver, 60, {"a0"})
    assert "a0" not in answer_calls(driver, 40, {"a0"})


def test_a_zone_whose_servers_are_all_slow_is_not_emptied() -> None:
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    answer_calls(driver, 100, set())
    all_servers = {f"a{i}" for i in range(6)}
    for _ in range(50):
        answer_calls(driver, 5, all_servers)
        assert sum(s.ejected_until <= driver.now for s in driver.balancer.host_set.servers.values()) >= 4


def test_a_server_that_times_out_for_one_class_is_ejected_for_that_class_alone() -> None:
    """A server may answer one class and leave the calls of another unanswered."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    driver.fill(100)
    silent_server = "a0"
    # As if the call before had failed too.
    driver.balancer.host_set.servers[silent_server].consecutive_failures = 1
    end_calls_at(driver, silent_server, api.Outcome.TIMEOUT, 1, "write")
    sent: dict[str, set[str]] = {"write": set(), "read": set()}
    for i in range(400):
        class_name = ("write", "read")[i % 2]
        sent[class_name].add(only_send(driver.request(class_name)).endpoint)
        driver.end(api.Outcome.OK, after_ms=1.0)
    assert silent_server not in sent["write"]
    assert silent_server in sent["read"]
    driver.now += 13000
    sent_later: set[str] = set()
    for _ in range(100):
        sent_later.add(only_send(driver.request("write")).endpoint)
        driver.end(api.Outcome.OK, after_ms=1.0)
    assert silent_server in sent_later


def test_a_server_that_fails_one_class_is_ejected_for_that_class_alone() -> None:
    """A successful trial call of another class must not readmit the server for the class that it fails."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(4)])
    sent = {"read": 0, "write": 0}
    for i in range(1200):
        class_name = ("read", "write")[i % 2]
        at_a0 = only_send(driver.request(class_name)).endpoint == "a0"
        sent[class_name] += at_a0
        fails = at_a0 and class_name == "write"
        driver.end(api.Outcome.ERROR if fails else api.Outcome.OK, after_ms=10.0, request_over=True)
    assert sent["write"] <= 8
    assert sent["read"] > 30


def test_a_class_that_times_out_at_all_servers_is_still_sent() -> None:
    """Timeouts of a class everywhere must not leave it without a usable server."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    for _ in range(2):
        driver.request("write")
        driver.end(api.Outcome.TIMEOUT, after_ms=2000)
    only_send(driver.request("write"))


def test_a_server_that_rejects_a_call_is_ejected_for_a_short_time() -> None:
    """A full server that is sent a new call whenever it finishes one stays full (incident ie6e9de)."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    full_server = only_send(driver.request()).endpoint
    driver.end(api.Outcome.REJECTED, request_over=True)
    assert full_server not in driver.fill(300)
