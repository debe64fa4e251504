"""Many bad clients of one proxy, in a process of their own: each sends much at once, and goes."""

from __future__ import annotations

import asyncio
import contextlib
import sys

PORT, CLIENTS, SENT_BYTES = (int(argument) for argument in sys.argv[1:4])
LINE = b"GET / HTTP/1.1\r\n\r\n"  # a request without id, class and time, so not a proper one


async def bad_client() -> None:
    """Send much at once, and go once it is sent."""
    with contextlib.suppress(OSError, TimeoutError):
        _, writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until all is sent
        writer.write(LINE * (SENT_BYTES // len(LINE)))
        await asyncio.wait_for(writer.drain(), 10.0)
        writer.close()


async def main() -> None:
    """Run all clients at once."""
    await asyncio.gather(*[bad_client() for _ in range(CLIENTS)])


asyncio.run(main())
