"""Many bad clients send much at once and go: do the requests of the other clients get their answers?"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers  # noqa: E402
import sites  # noqa: E402

BAD_CLIENTS = 300  # clients may hold a third of the 1,024 descriptors, 341
SENT_BYTES = 64 * 1024  # of each; the pages have peers with 60 MB to send
START_S, AFTER_S = 2.0, 10.0
RATE_PER_S = 40.0
# Besides tries of the usual length: STANDING, "Beyond this bench", has "requests with very little time left".
# They show the fault also on a machine that is several times as fast.
SHORT = ("platnosc", 200.0)
# Up to half a second after its time, an answer only earns nothing; later, or never, the request is lost.
LATE_S = 0.5
MOST_LAG_S = 0.2  # if the stand-ins themselves are later than this, the case says nothing


async def watch_lag(record: peers.Record, lags: list[float]) -> None:
    """Note how late the stand-ins themselves run."""
    while True:
        due = record.now() + 0.01
        await asyncio.sleep(0.01)
        lags.append(record.now() - due)


async def case(folder: Path, record: peers.Record) -> bool:
    """Return whether a proper request got no answer within its time and half a second."""
    site = await peers.Deployment.start(folder, record, sites.targ_krakow(1), 30.0)
    clients = peers.Clients(site.proxy, site.settings, record)
    lags: list[float] = []
    lag = asyncio.create_task(watch_lag(record, lags))
    sending = asyncio.create_task(peers.send_steadily(
        [clients], [*site.classes(0.4), SHORT], RATE_PER_S, record.now() + START_S + AFTER_S, record))
    bad: subprocess.Popen[bytes] | None = None
    try:
        await asyncio.sleep(START_S)
        if peers.TROUBLE:
            record.say(f"{BAD_CLIENTS} clients send {SENT_BYTES // 1024} KiB each at once, and go")
            bad = subprocess.Popen(
                [sys.executable, "-B", str(HERE / "bad_clients.py"), str(site.proxy.port), str(BAD_CLIENTS),
                 str(SENT_BYTES)])
        await sending
    finally:
        sending.cancel()
        lag.cancel()
        site.proxy.kill()
        if bad is not None:
            bad.kill()
            bad.wait()
    lost = [
        r for r in clients.requests
        if r.answered is None or r.answered > r.sent + r.time_left_ms / 1000.0 + LATE_S]
    never = sum(r.answered is None for r in lost)
    record.say(
        f"of {len(clients.requests)} proper requests {len(lost)} got no answer by half a second after their "
        f"time, {never} of them none half a second later; the stand-ins were {max(lags):.2f} s late at most")
    if max(lags) > MOST_LAG_S or sum(r.status == 200 for r in clients.requests) < 100:
        raise peers.CouldNotRunError("the stand-ins ran late, or the proxy hardly served anything")
    return bool(lost)


sys.exit(peers.run_case(HERE, case))
