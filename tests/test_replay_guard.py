"""Requests whose id comes again, and how long and for how many ids the proxy remembers it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeywharf.policy import replay_guard
from honeywharf.policy.replay_guard import ReplayGuard
from tests.proxy_harness import (
    Backend,
    Client,
    make_response,
    run_test,
    synced_proxy,
    wait_until,
    with_timeout,
)


def test_an_id_is_remembered_for_a_limited_time() -> None:
    guard = ReplayGuard()
    assert not guard.may_have_run("a", 0.0)
    guard.record("a", 0.0)
    guard.record("b", 10.0)
    assert guard.may_have_run("a", replay_guard.RETENTION_MS - 1.0)
    assert not guard.may_have_run("a", replay_guard.RETENTION_MS)
    assert guard.may_have_run("b", replay_guard.RETENTION_MS)
    guard.record("b", replay_guard.RETENTION_MS)  # a further attempt renews it
    assert guard.may_have_run("b", 2 * replay_guard.RETENTION_MS - 1.0)


def test_ever_new_ids_do_not_fill_the_memory() -> None:
    """Guards against a client that makes the proxy remember without end."""
    guard = ReplayGuard()
    for number in range(3 * replay_guard.MAX_REMEMBERED_IDS):
        guard.record(f"r{number}", 0.0)
    assert len(guard._recorded_ms) == replay_guard.MAX_REMEMBERED_IDS
    assert guard.may_have_run(f"r{3 * replay_guard.MAX_REMEMBERED_IDS - 1}", 0.0)


def leave(client: Client) -> None:
    client.writer.transport.abort()


def half_close(client: Client) -> None:
    client.writer.write_eof()


@pytest.mark.parametrize("disconnect", [leave, half_close])
@pytest.mark.parametrize("class_name", ["read", "order", "pay"])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(
    class_name: str, disconnect: Callable[[Client], None],
) -> None:
    """Guards against a request that runs a second time, while its first attempt runs or after that."""
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = None
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            first, second, third = [await Client.connect(harness.port) for _ in range(3)]
            request_count = Client.request_count
            first.send(class_name)
            await with_timeout(backend.request_received.wait())
            (pending,) = harness.proxy.driver.requests.values()
            disconnect(first)
            await wait_until(lambda: pending.finished)
            Client.request_count = request_count  # the next request has the same id
            second.send(class_name)
            assert await second.read_status() == 409
            for writer in list(backend.writers):
                writer.write(make_response())
            await wait_until(lambda: not harness.proxy.driver.requests)
            backend.default_response = make_response()
            Client.request_count = request_count
            third.send(class_name)
            assert await third.read_status() == 409
            assert len(backend.requests) == 1
            third.send(class_name)  # one with a new id is served
            assert await third.read_status() == 200
        await backend.stop()
    run_test(main())


def test_an_id_that_cannot_have_run_is_served_when_it_comes_again() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_response = make_response(503, b"", b"X-Unprocessed: 1")
        async with synced_proxy([backend.discovery_entry("b")]) as harness:
            client = await Client.connect(harness.port)
            request_count = Client.request_count
            client.send("pay")
            assert await client.read_status() == 503
            backend.default_response = make_response()
            Client.request_count = request_count
            client.send("pay")
            assert await client.read_status() == 200
        await backend.stop()
    run_test(main())
