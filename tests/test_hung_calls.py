"""Hung calls, which get no response although their server responds to other calls; over loopback sockets."""

from __future__ import annotations

from honeywharf import interface as api
from tests.proxy_harness import Backend, Client, run_test, synced_proxy, wait_until

Outcome = api.Outcome


def test_a_hung_call_is_retried_and_no_longer_counts_as_in_flight() -> None:
    """The backend responds to all `order` calls in 20 ms, except for one, to which it never responds.

    The responses to later calls reveal that this call is hung, and its request gets a second attempt. If hung
    calls were not detected, they would use up the concurrency limit of the zone, and the requests that they
    belong to would fail.
    """
    async def main() -> None:
        backend = await Backend().start()
        backend.response_delay_s = 0.02
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 3}) as harness:
            balancer = harness.proxy.driver.balancer
            client, hung_client = await Client.connect(harness.port), await Client.connect(harness.port)
            for _ in range(30):
                client.send("order", b"x")
                assert await client.read_status() == 200
            backend.scripted_responses = [None]
            backend.request_received.clear()
            request_id = hung_client.send("order", b"hangs")
            await wait_until(lambda: backend.request_received.is_set())
            while not any(a.is_hung for r in balancer.requests.values() for a in r.attempts):
                client.send("order", b"x")
                assert await client.read_status() == 200
            # The response comes from the second attempt, long before the deadline.
            assert await hung_client.read_status() == 200
            hung_request_attempts = [m for m in backend.requests if m[2] == b"hangs"]
            assert len(hung_request_attempts) == 2
            assert len({m[1][b"idempotency-key"] for m in hung_request_attempts}) == 1
            assert [len(r.attempts) for r in balancer.requests.values() if r.id == request_id] == [2]
            assert balancer.host_set.zones["z"].in_flight == 0
            assert balancer.host_set.servers["b"].ejections == 0
        await backend.stop()
    run_test(main())


def test_a_hung_call_that_may_run_only_once_is_not_retried() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.response_delay_s = 0.02
        async with synced_proxy([backend.discovery_entry("b")], bounds={"mostTries": 3}) as harness:
            balancer = harness.proxy.driver.balancer
            client, hung_client = await Client.connect(harness.port), await Client.connect(harness.port)
            for _ in range(30):
                client.send("pay", b"x")
                assert await client.read_status() == 200
            backend.scripted_responses = [None]
            backend.request_received.clear()
            hung_client.send("pay", b"hangs", "1500m")
            await wait_until(lambda: backend.request_received.is_set())
            while not any(a.is_hung for r in balancer.requests.values() for a in r.attempts):
                client.send("pay", b"x")
                assert await client.read_status() == 200
            assert await hung_client.read_status() == 502
            assert len([m for m in backend.requests if m[2] == b"hangs"]) == 1
            assert [e.outcome for e in harness.ended_attempts() if e.outcome is not Outcome.OK] == [
                Outcome.TIMEOUT
            ]
        await backend.stop()
    run_test(main())
