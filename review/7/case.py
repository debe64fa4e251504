"""Discovery is down for a minute, and new configurations come meanwhile: does the proxy ever ask again?"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers  # noqa: E402
import sites  # noqa: E402

# With LONG=1, discovery is down for longer, and there is no new configuration. This takes over 5 minutes.
LONG = os.environ.get("LONG") == "1"
QUIET_S, OUTAGE_S, AFTER_S = 3.0, 290.0 if LONG else 62.0, 22.0
CONFIGURATIONS, CONFIGURATION_GAP_S = 0 if LONG else 20, 2.0
# From this long after discovery's return on, the proxy must not be dead: 6 s after it could be reached again,
# all that discovery has counts as told, and a restarted proxy is ready within 10 s.
RECOVERY_S = 16.0


async def case(folder: Path, record: peers.Record) -> bool:
    """Return whether the proxy rejects all that it gets long after discovery is back, and never asks it."""
    site = await peers.Deployment.start(folder, record, sites.targ_krakow(1), 30.0)
    discovery, proxy = site.discovery, site.proxy
    second = peers.Discovery(record)  # the other address of the same discovery
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))  # while discovery is down, connections to it are refused
        ports = [reserved.getsockname()[1], discovery.port]
        clients = peers.Clients(proxy, site.settings, record)
        sending = asyncio.create_task(peers.send_steadily(
            [clients], site.classes(0.5), 10.0, record.now() + QUIET_S + OUTAGE_S + AFTER_S, record))
        try:
            await asyncio.sleep(QUIET_S)
            record.say("discovery goes down" if peers.TROUBLE else "discovery stays up")
            if peers.TROUBLE:
                discovery.die()
            else:
                reserved.close()
                second.port, second.entries = ports[0], discovery.entries
                second.changed, second.generation = discovery.changed, discovery.generation
                await second.open()
            end = record.now() + OUTAGE_S
            for number in range(CONFIGURATIONS):
                proxy.configure(discovery=f"127.0.0.1:{ports[number % 2]}")
                proxy.signal(signal.SIGHUP)
                await asyncio.sleep(CONFIGURATION_GAP_S)
            await asyncio.sleep(end - record.now())
            if peers.TROUBLE:
                await discovery.open()
            back, calls = record.now(), discovery.calls
            record.say(f"discovery is up from {back:.2f} s on, at the address in the proxy's configuration")
            await sending
        finally:
            sending.cancel()
            proxy.kill()
    before = [r for r in clients.requests if r.sent < QUIET_S]
    if not before or any(r.status != 200 for r in before[-10:]):
        raise peers.CouldNotRunError("the proxy did not serve before the disruption")
    late = [r for r in clients.requests if r.sent > back + RECOVERY_S]
    tries = sum(t > back + RECOVERY_S for s in site.servers for t, _ in s.received)
    record.say(
        f"from {RECOVERY_S:.0f} s after that on: {len(late)} requests, of which "
        f"{sum(r.status == 200 for r in late)} were served, and {tries} attempts; calls to discovery "
        f"since it is back: {discovery.calls - calls}")
    return len(late) >= 15 and tries == 0


sys.exit(peers.run_case(HERE, case, 340.0 if LONG else 110.0))
