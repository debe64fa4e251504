"""Some answers of the servers have no length and come whole. See claim.txt."""

from __future__ import annotations

import asyncio
import contextlib

from standins import ONCE, TROUBLE, Backend, CannotRunError, Case, Clients, run_case, start_one_proxy

BACKENDS = 3
LOAD_S = 15.0
RATE = 20.0
NO_LENGTH_EVERY = 4  # one answer in this many has no length


class NoLengthBackend(Backend):
    """A server that gives some answers without a length: their end is the end of the connection."""

    def __init__(self, *args: object, whole: set[str]) -> None:
        super().__init__(*args)
        self.whole = whole  # the ids of the requests whose answer had no length and came whole
        self.answer_count = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes, request_id: str,
    ) -> bool:
        """Write the answer; one without a length is ended by closing the sending side, without a reset."""
        self.answer_count += 1
        if not TROUBLE or self.answer_count % NO_LENGTH_EVERY:
            return await super().answer(reader, writer, body, request_id)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        writer.write_eof()
        self.whole.add(request_id)
        self.record.add(f"answer  {request_id} from {self.name} without a length, whole")
        with contextlib.suppress(TimeoutError):  # the proxy closes its side
            await asyncio.wait_for(reader.read(), 2.0)
        return False


async def play(case: Case) -> bool:
    """Play the case and return whether the rule held."""
    record = case.record
    whole: set[str] = set()
    backends = [NoLengthBackend(record, f"s{number}", whole=whole) for number in range(BACKENDS)]
    proxy = await start_one_proxy(case, backends)
    clients = Clients(record, proxy)
    await clients.load(RATE, LOAD_S)

    payments = [result for result in clients.results if result.class_name == ONCE]
    ran = {request_id for backend in backends for request_id in backend.run_ids}
    served = sum(result.status == 200 for result in payments)
    ran_count = sum(result.request_id in ran for result in payments)
    record.note(f"payments: {len(payments)} sent, {ran_count} ran, {served} served")
    if not TROUBLE:
        if 10 * served < 9 * len(payments):
            raise CannotRunError("the machine is too slow")
        return True
    without_length = [result for result in payments if result.request_id in whole]
    forwarded = [r for r in without_length if r.status == 200 and r.body.startswith(r.request_id.encode())]
    statuses = sorted({result.status for result in without_length})
    record.note(f"answers to payments with no length that came whole: {len(without_length)}, "
                f"forwarded: {len(forwarded)}, statuses at the clients: {statuses}")
    if len(without_length) < 10:
        raise CannotRunError("too few answers without a length")
    return 2 * len(forwarded) >= len(without_length)


if __name__ == "__main__":
    run_case(__file__, play)
