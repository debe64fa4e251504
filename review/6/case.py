"""Bad clients stop in the middle of a body of many small chunks: does the proxy keep its memory limit?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers  # noqa: E402
import sites  # noqa: E402

# The limits that the users' reports name for this site. Clients may hold a third of the descriptors, 128.
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}
BAD_CLIENTS = 60
# A body of 65,532 bytes, under the 64 KiB that the protocol page allows, in chunks of two bytes. The last
# chunk is missing.
CHUNKS = 32_766
START_S, WATCHED_S = 2.0, 8.0


def memory_mb(process: int) -> float:
    """Return the memory that the process holds now."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def bad_client(site: peers.Deployment, number: int) -> str:
    """Send most of a request, stay, and return how the proxy ended it."""
    request_id = f"bad-{number:03d}-{os.urandom(3).hex()}"
    head = peers.request_bytes(request_id, "sprzedaz", "by_key", 2000.0).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.proxy.port)
    except OSError as error:
        return type(error).__name__
    try:
        writer.write(head + b"2\r\nab\r\n" * CHUNKS)
        status, _, _ = await asyncio.wait_for(peers.read_response(reader), 6.0)
        end = str(status)
    except TimeoutError:
        end = "nothing"
    except (OSError, asyncio.IncompleteReadError) as error:
        end = type(error).__name__
    finally:
        writer.transport.abort()
    site.record.add(f"bad client {request_id} got {end}")
    return end


async def case(folder: Path, record: peers.Record) -> bool:
    """Return whether the proxy went over its memory limit, for which the platform kills it."""
    site = await peers.Deployment.start(folder, record, sites.targ_krakow(1), 30.0, limits=LIMITS)
    clients = peers.Clients(site.proxy, site.settings, record)
    sending = asyncio.create_task(peers.send_steadily(
        [clients], site.classes(0.5), 40.0, record.now() + START_S + WATCHED_S, record))
    peak, over = 0.0, None
    try:
        await asyncio.sleep(START_S)
        before = memory_mb(site.proxy.process.pid)
        record.say(f"the proxy holds {before:.0f} MB of {LIMITS['memory_mb']}")
        bad: list[asyncio.Task[str]] = []
        if peers.TROUBLE:
            bad = [asyncio.create_task(bad_client(site, number)) for number in range(BAD_CLIENTS)]
            record.say(f"{BAD_CLIENTS} clients send most of a request of 65,532 bytes in chunks, and stay")
        end = record.now() + WATCHED_S
        while record.now() < end and over is None:
            held = memory_mb(site.proxy.process.pid)
            peak = max(peak, held)
            if held > LIMITS["memory_mb"]:
                over = record.now()
                record.say(f"the proxy holds {held:.0f} MB: over its limit, so the platform kills it")
                site.proxy.kill()
            await asyncio.sleep(0.02)
        await sending
        await asyncio.gather(*bad)
    finally:
        sending.cancel()
        site.proxy.kill()
    lost = [
        r for r in clients.requests
        if r.cut is not None and any(s.got_before(r.id, r.cut) for s in site.servers)]
    record.say(
        f"the most memory seen was {peak:.0f} MB; {len(lost)} forwarded requests were lost with the proxy")
    if sum(r.status == 200 for r in clients.requests) < 50:
        raise peers.CouldNotRunError("the proxy hardly served anything")
    return over is not None


sys.exit(peers.run_case(HERE, case))
