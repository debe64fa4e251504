"""A proxy process that was restarted, or stopped by a signal, does not use its stale endpoint list.

While discovery reports no changes, the proxy cannot know which servers were removed meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from tests.proxy_harness import (
    SETTINGS,
    Backend,
    Client,
    Discovery,
    make_response,
    run_test,
    wait_until,
)
from tests.proxy_process import ProxyProcess

SERVER_COUNT = 2351
# One in this many servers is removed before the proxy restarts.
REMOVED_EVERY = 6
# Discovery keeps a poll in its queue for this long before it responds with 503.
QUEUE_TIMEOUT_S = 1.0
# `stopSendingWithinMs` of the settings, plus a tolerance of 50 ms for real sockets.
GRACE_S = 0.25 + 0.05
# The propagation deadline of a change is this long after discovery learned of it. From then on the proxy must
# obey the change, whether or not a response with it has arrived.
PROPAGATION_DEADLINE_S = 6.0
# Discovery refuses all polls for this long after the proxy has started. A proxy that treated its cached list
# as fresh at start-up would use it for longer, for 6 s.
POLLS_REFUSED_FOR_S = 3.6
CLIENT_COUNT = 4


class OverloadedDiscovery(Discovery):
    """Queues each poll and then refuses it with 503; once `accepts_polls` is set, it sends the changes."""

    def __init__(self, changes: list[dict[str, Any]]) -> None:
        super().__init__()
        self.accepts_polls = asyncio.Event()
        self.body = json.dumps({"generation": 2, "reset": False, "instances": changes}).encode()
        self.changes_sent = False

    async def _next_response(self) -> bytes:
        if not self.accepts_polls.is_set():
            await asyncio.sleep(QUEUE_TIMEOUT_S)
        if not self.accepts_polls.is_set():
            return make_response(503, b"")
        if self.changes_sent:
            await asyncio.Event().wait()  # There are no further changes: hold the long poll.
        self.changes_sent = True
        return make_response(200, self.body)


def polled_discovery_settings() -> dict[str, Any]:
    contract = {"stopSendingWithinMs": 250.0}
    return {**SETTINGS, "discovery": "ask", "contract": {**SETTINGS["contract"], **contract}}


async def send_until(stop: asyncio.Event, port: int) -> None:
    """Send one request after another until `stop` is set; each has to get a response of status 200 or 503."""
    client = await Client.connect(port)
    while not stop.is_set():
        client.send()
        assert await client.read_status() in (200, 503)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("removed_before_s", [4.0, 8.0])
def test_nothing_is_sent_to_servers_removed_before_the_proxy_restarted(
    removed_before_s: float, tmp_path: Path,
) -> None:
    """The endpoint list that the new process loads still contains the removed servers, and has no known age.

    Discovery is busy with the thousands of entries that it sends to other proxies, so the polls of the new
    process wait in its queue and are refused. The propagation deadline of the removal is 6 s after discovery
    learned of it, regardless of when the process started.
    """
    async def main() -> None:
        remaining, removed = await Backend().start(), await Backend().start()
        entries = [
            (removed if i % REMOVED_EVERY == 0 else remaining).discovery_entry(f"s-{i:08x}")
            for i in range(SERVER_COUNT)
        ]
        changes = [{**entry, "lifecycle": "removed"} for entry in entries[::REMOVED_EVERY]]
        discovery = OverloadedDiscovery(changes)
        await discovery.start()
        started_s = time.monotonic()
        removed_s = started_s - removed_before_s
        known = {"generation": 1, "reset": True, "instances": entries}
        address = f"127.0.0.1:{discovery.port}"
        with ProxyProcess(
            tmp_path, discovery=address, known=known, settings=polled_discovery_settings()
        ) as proxy:
            stop = asyncio.Event()
            clients = [asyncio.create_task(send_until(stop, proxy.port)) for _ in range(CLIENT_COUNT)]
            await asyncio.sleep(started_s + POLLS_REFUSED_FOR_S - time.monotonic())
            assert len(discovery.request_lines) >= 2  # The proxy retries its poll.
            discovery.accepts_polls.set()
            await wait_until(lambda: discovery.changes_sent)
            # After the response of discovery, the proxy sends requests to the remaining servers.
            request_count = len(remaining.requests)
            await wait_until(lambda: len(remaining.requests) >= request_count + 50)
            stop.set()
            await asyncio.gather(*clients)
        # A process that starts after the propagation deadline must obey the removal from its start on.
        must_obey_from_s = max(started_s, removed_s + PROPAGATION_DEADLINE_S)
        delays_s = [
            round(at_s - must_obey_from_s, 2)
            for at_s in removed.request_times
            if at_s > must_obey_from_s + GRACE_S
        ]
        assert not delays_s, (
            f"{len(delays_s)} requests to removed servers, the first {delays_s[0]} s after the later of "
            "the propagation deadline of the removal and the start of the proxy")
        for backend in (remaining, removed):
            await backend.stop()
        await discovery.stop()
    run_test(main())


def test_nothing_is_sent_to_servers_removed_while_the_process_was_stopped(tmp_path: Path) -> None:
    """SIGSTOP stops the process until its list has expired; when it resumes, a request is already waiting."""
    async def main() -> None:
        removed, discovery = await Backend().start(), await Discovery().start()
        entries = [removed.discovery_entry(f"s-{i:08x}") for i in range(SERVER_COUNT)]
        known = {"generation": 1, "reset": True, "instances": entries}
        # Discovery responds to the first poll with no changes, and never to the second one, so the proxy does
        # not learn of the removal.
        discovery.publish(1)
        address = f"127.0.0.1:{discovery.port}"
        with ProxyProcess(
            tmp_path, discovery=address, known=known, settings=polled_discovery_settings()
        ) as proxy:
            await wait_until(lambda: len(discovery.request_lines) == 2)
            client = await Client.connect(proxy.port)
            client.send()
            assert await client.read_status() == 200
            proxy.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PROPAGATION_DEADLINE_S + GRACE_S)
            # The request uses a new connection, because the first one has been idle for 6 s, and the proxy
            # may close it while the request is on its way.
            client = await Client.connect(proxy.port)
            client.send()
            proxy.process.send_signal(signal.SIGCONT)
            assert await client.read_status() == 503
            assert len(removed.requests) == 1
        await removed.stop()
        await discovery.stop()
    run_test(main())
