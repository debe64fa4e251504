"""The log of single events, and the reasons of closes and refusals in it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from honeywharf.net import event_log
from tests.proxy_harness import Backend, Client, make_response, run_test, synced_proxy, wait_until
from tests.test_input_scheduler import SimulatedClock


def test_events_beyond_the_rate_are_counted_and_the_count_is_logged(
    capsys: pytest.CaptureFixture[str],
) -> None:
    clock = SimulatedClock()
    events = event_log.EventLog(clock)
    for number in range(150):
        events.write("request refused:", request=number)
    assert len(capsys.readouterr().err.splitlines()) == event_log.MAX_EVENT_BURST
    clock.now_ms += 1000.0 / event_log.MAX_EVENTS_PER_S
    events.write("request refused:", request="last")
    assert capsys.readouterr().err.splitlines() == [
        "50 events were not logged", "request refused: request=last"]


def test_a_value_that_a_client_chose_cannot_add_lines_or_fields(capsys: pytest.CaptureFixture[str]) -> None:
    event_log.EventLog(SimulatedClock()).write("request refused:", request="a\nrequest served: request=b")
    (line,) = capsys.readouterr().err.splitlines()
    assert line.count(" ") == 2


def test_closes_retries_and_refusals_are_logged_with_their_reasons(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        rejected = make_response(503, b"", b"X-Unprocessed: 1")
        backend.scripted_responses += [rejected, make_response()]
        async with synced_proxy([backend.discovery_entry("b"), backend.discovery_entry("c")]) as harness:
            client = await Client.connect(harness.port)
            retried = client.send("pay")
            assert await client.read_status() == 200
            with socket.create_connection(("127.0.0.1", harness.port)) as malformed:
                malformed.sendall(b"nonsense\r\n\r\n")
                assert (await asyncio.to_thread(malformed.recv, 12)).endswith(b"400")
            harness.proxy.frontend.client_memory.limit_bytes = -1
            refused = client.send("pay")
            assert await client.read_status() == 503
            counts = harness.proxy.frontend.counts
            await wait_until(lambda: not harness.proxy.frontend.lingering)
            assert (counts["closed malformed"], counts["refused memory"]) == (1, 1)
            harness.proxy.stats.report()
        lines = capsys.readouterr().err.splitlines()
        assert any(line.startswith(f"request retried: request={retried} attempt=1 ") for line in lines)
        assert any(line.startswith("client closed: reason=malformed status=400 ") for line in lines)
        assert f"request refused: request={refused} reason=memory" in lines
        (resources,) = [line for line in lines if line.startswith("resources ")]
        assert all(f" {name}=" in resources for name in ("descriptors", "loop_delay", "clients"))
        await backend.stop()
    run_test(main())
