"""Outlier detection: which servers are ejected, for how long, and for which classes."""

from __future__ import annotations

import pytest

from honeywharf import interface as api
from tests.balancer_harness import (
    TWO_ZONE_ENDPOINTS,
    BalancerHarness,
    expect_single_send,
    make_endpoint,
    make_settings,
)


def end_calls_at(
    harness: BalancerHarness, server: str, outcome: api.Outcome, times: int, class_name: str = "read",
) -> None:
    """Make calls until `times` calls at `server` have ended with `outcome`; calls at others succeed."""
    while times:
        at_server = expect_single_send(harness.start_request(class_name)).endpoint == server
        times -= at_server
        harness.end_attempt(outcome if at_server else api.Outcome.OK, after_ms=1.0, request_finished=True)


def test_failed_connections_eject_a_server_and_a_trial_call_readmits_it() -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    end_calls_at(harness, "a0", api.Outcome.CONNECT_FAILED, 2)
    assert "a0" not in harness.run_requests(300)
    harness.now_ms += 4000
    assert "a0" in harness.run_requests(300)


@pytest.mark.parametrize("outcome", [
    api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_TIMEOUT, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_one_connection_error_or_timeout_does_not_eject_the_server(outcome: api.Outcome) -> None:
    harness = BalancerHarness()
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.run_requests(100)
    end_calls_at(harness, "a0", outcome, 1)
    assert "a0" in harness.run_requests(300)
    assert harness.balancer.host_set.servers["a0"].ejections == 0


def test_refused_connections_eject_more_servers_of_a_zone_than_connect_timeouts() -> None:
    """A refused connection shows that a process is dead, and a connect timeout does not.

    Here three of four servers fail. Refused connections eject all three, and connect timeouts only one.
    """
    for outcome, expected_ejected in ((api.Outcome.CONNECT_FAILED, 3), (api.Outcome.CONNECT_TIMEOUT, 1)):
        harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=1)))
        harness.feed_list(TWO_ZONE_ENDPOINTS[:4])
        harness.run_requests(100)
        servers = harness.balancer.host_set.servers
        for name in list(servers)[:3]:
            end_calls_at(harness, name, outcome, 4)
        assert sum(s.ejections > 0 for s in servers.values()) == expected_ejected, outcome


def test_consecutive_errors_eject_a_server() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("b0", "b"), make_endpoint("b1", "b")])
    harness.run_requests(4, api.Outcome.ERROR)
    assert set(harness.run_requests(50)) == {"b0", "b1"}


def test_errors_of_an_upstream_tier_eject_only_one_server() -> None:
    """When all servers return errors, the fault probably lies in an upstream tier that all of them call.

    If such errors ejected all servers of a zone, the other zones could not serve all calls.
    """
    harness = BalancerHarness()
    harness.feed_list(
        [make_endpoint("a0"), make_endpoint("a1"), make_endpoint("b0", "b"), make_endpoint("b1", "b")]
    )
    harness.run_requests(40, api.Outcome.ERROR)
    assert sum(s.ejections > 0 for s in harness.balancer.host_set.servers.values()) == 1
    harness.now_ms += 20000
    assert set(harness.run_requests(200)) == {"a0", "a1"}


def test_a_failing_server_is_ejected_even_if_another_zone_has_an_ejected_server() -> None:
    """A failing server attracts most calls if it is not ejected: it fails fast, so it has free capacity."""
    harness = BalancerHarness()
    harness.feed_list(
        [make_endpoint(f"a{i}") for i in range(2)] + [make_endpoint(f"b{i}", "b") for i in range(2)]
    )
    harness.run_requests(200)
    servers = harness.balancer.host_set.servers
    harness.balancer.outliers.eject(servers["b0"], 60000.0, harness.balancer.now_ms)
    for _ in range(60):
        fails = expect_single_send(harness.start_request()).endpoint == "a0"
        harness.end_attempt(
            api.Outcome.ERROR if fails else api.Outcome.OK, after_ms=1.0, request_finished=True
        )
    assert servers["a0"].ejections == 1
    assert servers["a1"].ejections == 0


def test_one_error_does_not_eject_the_server() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("b0", "b")])
    harness.run_requests(1, api.Outcome.ERROR)
    assert set(harness.run_requests(50)) == {"a0"}


def run_successful_calls(harness: BalancerHarness, count: int, slow_servers: set[str]) -> set[str]:
    """Make calls that take 10 ms, or 100 ms at the slow servers; return the servers that got any of them."""
    sent: set[str] = set()
    for _ in range(count):
        for action in harness.start_request():
            if isinstance(action, api.Send):
                sent.add(action.endpoint)
                harness.end_attempt(
                    api.Outcome.OK, after_ms=100.0 if action.endpoint in slow_servers else 10.0
                )
    return sent


def test_a_slow_server_is_ejected() -> None:
    """An overloaded server that still responds, but slowly, must not keep its share of the calls."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint(f"a{i}") for i in range(6)])
    run_successful_calls(harness, 100, set())
    run_successful_calls(harness, 60, {"a0"})
    assert "a0" not in run_successful_calls(harness, 40, {"a0"})


def test_at_most_a_third_of_a_zone_is_ejected_when_all_its_servers_are_slow() -> None:
    harness = BalancerHarness()
    harness.feed_list([make_endpoint(f"a{i}") for i in range(6)])
    run_successful_calls(harness, 100, set())
    all_servers = {f"a{i}" for i in range(6)}
    for _ in range(50):
        run_successful_calls(harness, 5, all_servers)
        # At most two of the six servers are ejected, so at least four are not.
        assert (
            sum(s.ejected_until_ms <= harness.now_ms for s in harness.balancer.host_set.servers.values()) >= 4
        )


def test_a_server_that_times_out_for_one_class_is_ejected_for_that_class_alone() -> None:
    """A server may respond to the calls of one class while those of another time out."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint(f"a{i}") for i in range(6)])
    harness.run_requests(100)
    unresponsive_server = "a0"
    # Pretend that the previous call at the server failed too, because one timeout alone does not eject.
    harness.balancer.host_set.servers[unresponsive_server].consecutive_failures = 1
    end_calls_at(harness, unresponsive_server, api.Outcome.TIMEOUT, 1, "write")
    sent: dict[str, set[str]] = {"write": set(), "read": set()}
    for i in range(400):
        class_name = ("write", "read")[i % 2]
        sent[class_name].add(expect_single_send(harness.start_request(class_name)).endpoint)
        harness.end_attempt(api.Outcome.OK, after_ms=1.0)
    assert unresponsive_server not in sent["write"]
    assert unresponsive_server in sent["read"]
    harness.now_ms += 13000
    sent_later: set[str] = set()
    for _ in range(100):
        sent_later.add(expect_single_send(harness.start_request("write")).endpoint)
        harness.end_attempt(api.Outcome.OK, after_ms=1.0)
    assert unresponsive_server in sent_later


def test_a_server_that_fails_one_class_is_ejected_for_that_class_alone() -> None:
    """A successful trial call of another class must not readmit the server for the class that it fails."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint(f"a{i}") for i in range(4)])
    sent = {"read": 0, "write": 0}
    for i in range(1200):
        class_name = ("read", "write")[i % 2]
        at_a0 = expect_single_send(harness.start_request(class_name)).endpoint == "a0"
        sent[class_name] += at_a0
        fails = at_a0 and class_name == "write"
        harness.end_attempt(
            api.Outcome.ERROR if fails else api.Outcome.OK, after_ms=10.0, request_finished=True
        )
    assert sent["write"] <= 8
    assert sent["read"] > 30


def test_requests_are_still_sent_after_their_class_has_timed_out_twice() -> None:
    """Timeouts of a class must not leave it without a usable server.

    Both timeouts are at a0, the server of the local zone.
    """
    harness = BalancerHarness()
    harness.feed_list([make_endpoint("a0"), make_endpoint("b0", "b")])
    for _ in range(2):
        harness.start_request("write")
        harness.end_attempt(api.Outcome.TIMEOUT, after_ms=2000)
    expect_single_send(harness.start_request("write"))


def test_requests_are_still_sent_after_their_class_has_timed_out_at_all_servers() -> None:
    harness = BalancerHarness(make_settings(limits=api.Limits(max_attempts=1)))
    harness.feed_list(TWO_ZONE_ENDPOINTS)
    harness.run_requests(200)
    servers = harness.balancer.host_set.servers.values()
    for _ in range(100):
        if not all("write" in server.class_ejected_until_ms for server in servers):
            expect_single_send(harness.start_request("write"))
            harness.end_attempt(api.Outcome.TIMEOUT, request_finished=True)
    assert all(server.class_ejected_until_ms["write"] > harness.now_ms for server in servers)
    for _ in range(20):
        expect_single_send(harness.start_request("write"))
        harness.end_attempt(api.Outcome.OK)


def test_a_server_that_rejects_a_call_is_ejected() -> None:
    """An overloaded server stays overloaded if it is sent a new call whenever it finishes one."""
    harness = BalancerHarness()
    harness.feed_list([make_endpoint(f"a{i}") for i in range(6)])
    overloaded_server = expect_single_send(harness.start_request()).endpoint
    harness.end_attempt(api.Outcome.REJECTED, request_finished=True)
    assert overloaded_server not in harness.run_requests(300)
