"""Some clients offer an upgrade of the connection with their requests, which have a body. See claim.txt."""

from __future__ import annotations

import asyncio
import contextlib

from standins import (
    HOST,
    KEYED,
    ONCE,
    TROUBLE,
    Backend,
    CannotRunError,
    Case,
    Clients,
    Proxy,
    Record,
    read_head,
    request_bytes,
    run_case,
    start_one_proxy,
)

BACKENDS = 3
LOAD_S = 10.0
RATE = 20.0
UPGRADE_INTERVAL_S = 0.5
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
BODY = b'{"stall":"17","amount":"42.50"}'
FORM = b"POST /api"  # the method and the path of all requests


class ComparingBackend(Backend):
    """A server that compares each request with what clients sent, and answers 400 to any other."""

    def __init__(self, *args: object, sent: dict[str, bytes]) -> None:
        super().__init__(*args)
        self.sent = sent  # by id: the body that a client sent
        self.other: list[str] = []

    def accepts(self, request_id: str) -> bool:
        """Return whether the form and the body are those that the client sent."""
        form, body = self.received[request_id]
        expected = self.sent.get(request_id, b"x" * 100)  # the body of all other clients
        if form == FORM and body == expected:
            return True
        self.other.append(request_id)
        self.record.add(f"wrong   {request_id} at {self.name}: {form!r}, body {body!r}, sent: {expected!r}")
        return False


async def offer_upgrades(record: Record, proxy: Proxy, sent: dict[str, bytes], statuses: list[int]) -> None:
    """Send requests, each on a new connection, that offer an upgrade to HTTP/2 as some HTTP libraries do."""
    end_s = record.now() + LOAD_S
    while record.now() < end_s:
        request_id = f"up{len(statuses):06x}"
        sent[request_id] = BODY
        request = request_bytes(request_id, ONCE if len(statuses) % 2 else KEYED, BODY)
        if TROUBLE:
            request = request.replace(b"Content-Length", OFFER + b"Content-Length", 1)
        record.add(f"sent    {request_id} {request!r}")
        statuses.append(0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(HOST, proxy.port)
                writer.write(request)
                first_line, headers = await read_head(reader)
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                statuses[-1] = int(first_line.split()[1])
                writer.close()
        record.add(f"answer  {request_id} {statuses[-1]}")
        await asyncio.sleep(UPGRADE_INTERVAL_S)


async def play(case: Case) -> bool:
    """Play the case and return whether the rule held."""
    record = case.record
    sent: dict[str, bytes] = {}
    statuses: list[int] = []
    backends = [ComparingBackend(record, f"s{number}", sent=sent) for number in range(BACKENDS)]
    proxy = await start_one_proxy(case, backends)
    clients = Clients(record, proxy)
    await asyncio.gather(clients.load(RATE, LOAD_S), offer_upgrades(record, proxy, sent, statuses))

    other = [request_id for backend in backends for request_id in backend.other]
    record.note(f"other clients: {len(clients.results)} sent, "
                f"{sum(result.status == 200 for result in clients.results)} served")
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    kind = "that offer an upgrade" if TROUBLE else "that offer no upgrade"
    record.note(f"clients {kind}: {len(statuses)} sent, answers {counts}")
    record.note(f"requests at servers in a form that no client sent: {len(other)}")
    if len(statuses) < 10 or not any(result.status == 200 for result in clients.results):
        raise CannotRunError("too few requests")
    return not other


if __name__ == "__main__":
    run_case(__file__, play)
