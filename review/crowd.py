"""Discovery has too many callers for some seconds, and a server begins to drain then (cases 9 and 10)."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import peers

START_S = 1.0
CROWD_S = 8.0
CALL_TIMEOUT_S = 3.0  # `timeout_ms` of the site: a call that has waited so long fails
DRAIN_AFTER_CALL_S = 0.2
# A change counts as told at the latest 6 s after discovery had it and could be reached.
TOLD_WITHIN_S = 6.0
SLACK_S = 0.05
RATE_PER_S = 40.0


async def crowded(folder: Path, record: peers.Record, settings: dict[str, Any], failure: str) -> bool:
    """Return whether the proxy sends to a draining server once it counts as told and the grace is over.

    `failure` is how a call ends that has waited too long: "503" or "reset".
    """
    site = await peers.Deployment.start(folder, record, settings, 30.0)
    discovery, leaving = site.discovery, site.servers[0]
    clients = peers.Clients(site.proxy, settings, record)
    sending = asyncio.create_task(peers.send_steadily(
        [clients], site.classes(0.5), RATE_PER_S, record.now() + START_S + CROWD_S + 10.0, record))
    try:
        await asyncio.sleep(START_S)
        calls = discovery.calls
        crowd_end = float("inf")

        async def wait_in_the_crowd() -> str | None:
            if record.now() >= crowd_end:
                return None
            await asyncio.sleep(CALL_TIMEOUT_S)
            return failure

        if peers.TROUBLE:
            discovery.turn = wait_in_the_crowd
        while discovery.calls == calls:  # the watch that is open now ends in its usual way
            await asyncio.sleep(0.01)
        crowd_end = record.now() + CROWD_S
        if peers.TROUBLE:
            record.say(f"from {record.now():.2f} s on, calls wait {CALL_TIMEOUT_S:.0f} s and fail")
        await asyncio.sleep(DRAIN_AFTER_CALL_S)
        had = record.now()
        discovery.set(leaving.entry("draining"))
        grace_s = settings["contract"]["stopSendingWithinMs"] / 1000.0
        bound = had + TOLD_WITHIN_S + grace_s + SLACK_S
        record.say(f"discovery has the drain of {leaving.name} from {had:.2f} s on; the bound is {bound:.2f}")
        await asyncio.sleep(bound + 0.3 - record.now())
        lost: list[str] = []

        async def switched_off(message: peers.Message) -> bytes | None:
            """Say nothing: the server has finished what it had, and its machine is gone."""
            lost.append(message.id)
            await asyncio.sleep(30.0)
            return None

        leaving.answer = switched_off
        record.say(f"{leaving.name} has finished all that it got in time, and is switched off")
        await sending
    finally:
        sending.cancel()
        site.proxy.kill()
    late = [(t, m.id) for t, m in leaving.received if t > bound]
    failed = [r for r in clients.requests if r.id in lost and r.status != 200]
    record.say(
        f"{len(late)} attempts reached {leaving.name} after {bound:.2f} s"
        + (f", the last at {late[-1][0]:.2f} s" if late else "")
        + f"; {len(lost)} of them found it switched off, and {len(failed)} requests failed for that")
    if sum(r.status == 200 for r in clients.requests) < 100:
        raise peers.CouldNotRunError("the proxy hardly served anything")
    return bool(late)
