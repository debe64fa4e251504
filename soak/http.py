"""The little of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response: its first line, its headers by lower-case name, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length, or with a body in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first_line, headers, await _read_chunks(reader))
    return Message(first_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Format a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunked(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of one size."""
    parts = [body[i:i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
