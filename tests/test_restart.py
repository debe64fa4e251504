"""A process that was away, restarted or stopped, and the list that it held; discovery does not answer."""

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
    run_with_timeout,
    wait_until,
)
from tests.proxy_process import ProxyProcess

SERVERS = 2351
GONE_SHARE = 6  # one server in so many was removed while the proxy was away
QUEUE_S = 1.0  # how long discovery lets a poll wait before it refuses it
GRACE_S = 0.25 + 0.05  # of the settings, and the slack of the rules on sockets
TOLD_AFTER_S = 6.0  # a change counts as told so long after discovery had it, if nothing brought it
OBSERVED_S = 3.6  # from the start of the process; the list held must not be used for 6 s from there
CLIENTS = 4


class CrowdedDiscovery(Discovery):
    """Lets each poll wait in a queue and refuses it, until `admits` is set; then it answers with changes."""

    def __init__(self, changes: list[dict[str, Any]]) -> None:
        super().__init__()
        self.admits = asyncio.Event()
        self.body = json.dumps({"generation": 2, "reset": False, "instances": changes}).encode()
        self.told = False

    async def _next_response(self) -> bytes:
        if not self.admits.is_set():
            await asyncio.sleep(QUEUE_S)
        if not self.admits.is_set():
            return make_response(503, b"")
        if self.told:
            await asyncio.Event().wait()  # a watch with nothing to tell
        self.told = True
        return make_response(200, self.body)


def ask_settings() -> dict[str, Any]:
    contract = {"stopSendingWithinMs": 250.0}
    return {**SETTINGS, "discovery": "ask", "contract": {**SETTINGS["contract"], **contract}}


async def send_until(end: asyncio.Event, port: int) -> None:
    """Send one request after another; each has to get its answer."""
    client = await Client.connect(port)
    while not end.is_set():
        client.send()
        assert await client.read_status() in (200, 503)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("removed_before_s", [4.0, 8.0])
def test_nothing_is_sent_to_servers_removed_while_the_proxy_was_away(
    removed_before_s: float, tmp_path: Path,
) -> None:
    """The removal counts as told 6 s after discovery had it, whenever the process started.

    The polls of a new process wait in discovery's queue and are refused, as it has thousands of entries to
    tell to others. The list of the last life does not name the removal, and its age is not known.
    """
    async def main() -> None:
        stays, leaves = await Backend().start(), await Backend().start()
        rows = [
            (leaves if i % GONE_SHARE == 0 else stays).discovery_entry(f"s-{i:08x}") for i in range(SERVERS)
        ]
        changes = [{**r, "lifecycle": "removed"} for r in rows[::GONE_SHARE]]
        discovery = CrowdedDiscovery(changes)
        await discovery.start()
        started = time.monotonic()
        removed = started - removed_before_s
        known = {"generation": 1, "reset": True, "instances": rows}
        where = f"127.0.0.1:{discovery.port}"
        with ProxyProcess(tmp_path, discovery=where, known=known, settings=ask_settings()) as proxy:
            end = asyncio.Event()
            clients = [asyncio.create_task(send_until(end, proxy.port)) for _ in range(CLIENTS)]
            await asyncio.sleep(started + OBSERVED_S - time.monotonic())
            assert len(discovery.request_lines) >= 2  # it goes on asking
            discovery.admits.set()
            await wait_until(lambda: discovery.told)
            served = len(stays.requests)
            # and serves once discovery has answered
            await wait_until(lambda: len(stays.requests) >= served + 50)
            end.set()
            await asyncio.gather(*clients)
        told = max(started, removed + TOLD_AFTER_S)
        late = [round(at - told, 2) for at in leaves.request_times if at > told + GRACE_S]
        assert not late, f"{len(late)} requests to removed servers, the first {late[0]} s after the word"
        for backend in (stays, leaves):
            await backend.stop()
        await discovery.stop()
    run_with_timeout(main())


def test_nothing_is_sent_to_servers_removed_while_the_process_was_stopped(tmp_path: Path) -> None:
    """It is stopped for longer than its list may be used, and finds a request when it runs again."""
    async def main() -> None:
        leaves, discovery = await Backend().start(), await Discovery().start()
        rows = [leaves.discovery_entry(f"s-{i:08x}") for i in range(SERVERS)]
        known = {"generation": 1, "reset": True, "instances": rows}
        discovery.publish(1)  # nothing new; the watch after it never hears of the removal
        where = f"127.0.0.1:{discovery.port}"
        with ProxyProcess(tmp_path, discovery=where, known=known, settings=ask_settings()) as proxy:
            await wait_until(lambda: len(discovery.request_lines) == 2)
            client = await Client.connect(proxy.port)
            client.send()
            assert await client.read_status() == 200
            proxy.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(TOLD_AFTER_S + GRACE_S)
            # A new connection, as one that has rested for 6 s may be closed just as the request crosses that.
            client = await Client.connect(proxy.port)
            client.send()
            proxy.process.send_signal(signal.SIGCONT)
            assert await client.read_status() == 503
            assert len(leaves.requests) == 1
        await leaves.stop()
        await discovery.stop()
    run_with_timeout(main())
