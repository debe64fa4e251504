"""HTTP/1.1 messages, the values of their headers, and the formatting of responses to clients."""

from __future__ import annotations

import re

OK = 200
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
MAX_NAMED_NUMBERS = 32  # per header; further ones are ignored
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}
_DURATION = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_NUMBER = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")


class MalformedMessageError(Exception):
    """A message violates HTTP or the service protocol.

    `status` is the status with which a request is rejected.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def parse_duration_ms(value: bytes) -> float | None:
    """Parse a duration such as `480m` (milliseconds) or `480000u` (microseconds); None if it is invalid."""
    match = _DURATION.fullmatch(value.strip())
    if match is None:
        return None
    number = float(match[1])
    return number if match[2] == b"m" else number / 1000.0


def time_left_header(time_left_ms: float) -> bytes:
    """Format the header line that tells a backend how much time it has."""
    return b"X-Time-Left: %du\r\n" % max(0, int(time_left_ms * 1000.0))


def parse_number(value: bytes) -> float | None:
    """Parse a non-negative decimal number; None if it is invalid.

    `float` alone would also accept `nan`, `inf`, `1_0` and numbers that no load report contains.
    """
    return float(value) if _NUMBER.fullmatch(value.strip()) else None


def parse_named_numbers(value: bytes) -> dict[str, float]:
    """Parse `name=value,name=value`, and leave out the items whose value is not a number."""
    numbers: dict[str, float] = {}
    for item in value.split(b",", MAX_NAMED_NUMBERS)[:MAX_NAMED_NUMBERS]:
        name, _, text = item.partition(b"=")
        number = parse_number(text)
        if number is not None:
            numbers[name.strip().decode("latin-1")] = number
    return numbers


def content_length_exceeds(value: bytes, limit: int) -> bool:
    """Whether a Content-Length is above the limit. The parser rejects a value that is not a number."""
    value = value.strip()
    # The number of digits is checked first, because `int` raises an error for thousands of them.
    return value.isdigit() and (len(value) > 18 or int(value) > limit)


def format_response(
    status: int, body: bytes = b"", *, keep_alive: bool = True, retry_after_ms: float = 0.0,
    content_type: bytes = b"",
) -> bytes:
    """Format a complete response to a client."""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
        status, REASON_PHRASES.get(status, b"Answer"), len(body))
    if content_type:
        head += b"Content-Type: %b\r\n" % content_type
    if retry_after_ms > 0:
        head += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
    if not keep_alive:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + body


class Request:
    """A client's request, complete with its body."""

    __slots__ = (
        "account", "body", "class_name", "expects_continue", "facts", "forwarded_lines", "id",
        "idempotency_key", "is_retry", "keep_alive", "method", "received_ms", "session_id", "target",
        "time_left_ms", "work_hint_ms",
    )

    def __init__(self) -> None:
        self.method = self.target = self.body = b""
        self.forwarded_lines = bytearray()  # header lines that are forwarded to the backend
        self.id = self.class_name = self.account = self.session_id = ""
        self.idempotency_key = self.facts = b""
        self.time_left_ms: float | None = None
        self.work_hint_ms: float | None = None
        self.is_retry = self.expects_continue = False
        self.keep_alive = True
        self.received_ms = 0.0  # when its last byte arrived, on the proxy's clock

    @property
    def held_bytes(self) -> int:
        """The size of its head and body, as far as they have been received and are kept."""
        return len(self.target) + len(self.forwarded_lines) + len(self.body)

    def head(self) -> bytes:
        """Format the head for a backend, without the X-Time-Left header and the empty line that end it."""
        head = b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, bytes(self.forwarded_lines))
        if self.body or self.method != b"GET":
            head += b"Content-Length: %d\r\n" % len(self.body)
        return head


class Response:
    """A complete response of a backend or of discovery."""

    __slots__ = ("body", "content_type", "keep_alive", "load_report", "status", "unprocessed")

    def __init__(self) -> None:
        self.status = 0
        self.unprocessed = False
        self.load_report: bytes | None = None
        self.content_type = b""
        self.body = b""
        self.keep_alive = True
