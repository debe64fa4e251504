"""HTTP/1.1 messages: incremental readers of requests and responses, and the parsing of single headers."""

from __future__ import annotations

import re
from collections.abc import Callable

import httptools

MAX_REQUEST_BODY_BYTES = 64 * 1024
# The service protocol, which states how the clients and backends of this system use HTTP, limits a response
# body to 64 KiB, but valid ones of 400 KB occur. A longer one than this counts as malformed. Many long ones
# at once could exhaust the memory, so the pool limits what they hold together.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_NAMED_NUMBERS = 32  # per header; further ones are ignored
MAX_INTERIM_RESPONSES = 8  # 1xx responses before one final response
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}
SUPPORTED_METHODS = frozenset((b"GET", b"POST", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH"))
#: Request headers that are forwarded to a backend: those that the service protocol names, and the content
#: type. All others are dropped, because a backend might read them as another framing or as part of another
#: request.
FORWARDED_HEADERS = frozenset((
    b"host", b"x-correlation-id", b"x-service-class", b"x-account", b"cookie", b"x-repeat",
    b"idempotency-key", b"x-weight-hint", b"x-facts", b"content-type",
))
_CORRELATION_ID = re.compile(rb"[!-~]{1,128}")
_DURATION = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_NUMBER = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")
_SESSION_ID = re.compile(rb"(?:^|;)\s*sid=([^;\s]*)")


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
        self.forwarded_lines: list[bytes] = []  # header lines that are forwarded to the backend
        self.id = self.class_name = self.account = self.session_id = ""
        self.idempotency_key = self.facts = b""
        self.time_left_ms: float | None = None
        self.work_hint_ms: float | None = None
        self.is_retry = self.expects_continue = False
        self.keep_alive = True
        self.received_ms = 0.0  # when its last byte arrived, on the proxy's clock

    def head(self) -> bytes:
        """Format the head for a backend, without the X-Time-Left header and the empty line that end it."""
        lines = [b"%b %b HTTP/1.1\r\n" % (self.method, self.target), *self.forwarded_lines]
        if self.body or self.method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(self.body))
        return b"".join(lines)


NO_REQUEST = Request()  # the placeholder while no request is being read


def _set_id(request: Request, value: bytes) -> None:
    if request.id or not _CORRELATION_ID.fullmatch(value):
        raise MalformedMessageError(
            400, "X-Correlation-Id must occur once, with 1 to 128 visible ASCII characters")
    request.id = value.decode("latin-1")


def _set_class(request: Request, value: bytes) -> None:
    if request.class_name:
        raise MalformedMessageError(400, "X-Service-Class must occur only once")
    request.class_name = value.decode("latin-1")


def _set_account(request: Request, value: bytes) -> None:
    request.account = value.decode("latin-1")


def _set_session_id(request: Request, value: bytes) -> None:
    match = _SESSION_ID.search(value)
    if match is not None:
        request.session_id = match[1].decode("latin-1")


def _set_time_left(request: Request, value: bytes) -> None:
    repeated, request.time_left_ms = request.time_left_ms is not None, parse_duration_ms(value)
    if repeated or request.time_left_ms is None:
        raise MalformedMessageError(400, "X-Time-Left must occur once, with a duration such as 480m")


def _set_is_retry(request: Request, value: bytes) -> None:
    request.is_retry = value.strip() == b"1"


def _set_idempotency_key(request: Request, value: bytes) -> None:
    if request.idempotency_key:
        raise MalformedMessageError(400, "Idempotency-Key must occur only once")
    request.idempotency_key = value


def _set_work_hint(request: Request, value: bytes) -> None:
    hint_us = parse_number(value)
    request.work_hint_ms = None if hint_us is None else hint_us / 1000.0


def _set_facts(request: Request, value: bytes) -> None:
    request.facts = value


def _set_expects_continue(request: Request, value: bytes) -> None:
    request.expects_continue = value.strip().lower() == b"100-continue"


HEADER_SETTERS: dict[bytes, Callable[[Request, bytes], None]] = {
    b"x-correlation-id": _set_id, b"x-service-class": _set_class, b"x-account": _set_account,
    b"cookie": _set_session_id, b"x-time-left": _set_time_left, b"x-repeat": _set_is_retry,
    b"idempotency-key": _set_idempotency_key, b"x-weight-hint": _set_work_hint, b"x-facts": _set_facts,
    b"expect": _set_expects_continue,
}


class _Reader:
    """The base of both readers. It limits the size of head and body, whatever length a message declares."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.in_head = self.in_body = False
        self.head_bytes = 0
        self.body_bytes = 0
        # The size of the input that was framing or trailers alone, since the last part of the body.
        self.framing_bytes = 0
        self.has_progressed = False  # the input that is being parsed ended the head or has a part of the body
        self.body_parts: list[bytes] = []
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    @property
    def idle(self) -> bool:
        """Whether no message is incomplete."""
        return not self.in_head and not self.in_body

    def on_message_begin(self) -> None:
        self.in_head, self.head_bytes, self.body_bytes, self.body_parts = True, 0, 0, []

    def on_headers_complete(self) -> None:
        self.in_head, self.in_body = False, True
        self.has_progressed, self.framing_bytes = True, 0

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "the head is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header field and store it. A trailer field, which follows the body, is only counted.

        A recipient must not take a trailer field for a header (RFC 9110, section 6.5.1).
        """
        self._count_head_bytes(len(name) + len(value) + 4)
        if self.in_head:
            self._store_header(name, value)

    def _store_header(self, name: bytes, value: bytes) -> None:
        raise NotImplementedError

    def _count_framing_bytes(self, size: int) -> None:
        self.framing_bytes += size
        if self.framing_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "the chunk extensions or trailers are too large")

    def on_body(self, data: bytes) -> None:
        self.has_progressed, self.framing_bytes = True, 0
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise MalformedMessageError(413, "the body is too large")
        self.body_parts.append(data)

    def close(self) -> None:
        """Delete the parser. It refers back to the reader, so both would wait for the garbage collector."""
        self.in_head = self.in_body = False
        self.body_parts = []
        del self.parser

    def body(self) -> bytes:
        return self.body_parts[0] if len(self.body_parts) == 1 else b"".join(self.body_parts)

    def _feed_parser(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def _parse(self, data: bytes) -> None:
        self.has_progressed = False
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            # The parser wraps an exception that a callback raises in one of its own.
            cause: BaseException | None = error
            while cause is not None and not isinstance(cause, MalformedMessageError):
                cause = cause.__cause__ or cause.__context__
            raise cause or MalformedMessageError(400, str(error)) from None
        # The parser buffers an unfinished line and invokes no callback until the line ends, so the bytes of
        # an endless line are counted here.
        if self.in_head:
            self._count_head_bytes(len(data))
        elif self.in_body and not self.has_progressed:
            self._count_framing_bytes(len(data))


class RequestReader(_Reader):
    """Parses the bytes that one client sends into requests.

    `on_continue` is called for each request whose client waits for `100 Continue` before it sends the body.
    """

    def __init__(self, on_continue: Callable[[], None]) -> None:
        super().__init__(MAX_REQUEST_BODY_BYTES)
        self.on_continue = on_continue
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.request = NO_REQUEST
        self.body_framing = b""  # the header line that announces a body of the current request
        self.completed: list[Request] = []
        self.error: MalformedMessageError | None = None

    def feed(self, data: bytes) -> list[Request]:
        """Return the requests that these bytes complete. Sets `error` if what follows them is malformed."""
        try:
            self._parse(data)
        except MalformedMessageError as error:
            self.error = error
        completed, self.completed = self.completed, []
        return completed

    def _feed_parser(self, data: bytes) -> None:
        """Feed the parser, and ignore offers to upgrade the connection (RFC 9110, section 7.8).

        The parser ends a request with such an offer at the end of its head, as if its body were data of the
        other protocol, and parses nothing after it.
        """
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                offset: int = upgrade.args[0]
                data = data[offset:]
                self._replace_parser()

    def _replace_parser(self) -> None:
        """Continue with a new parser after the head of a request that offers an upgrade.

        If the request has a body, the new parser is fed a head that frames the same body and offers nothing.
        """
        self.parser = httptools.HttpRequestParser(self)
        if self.in_body:
            request = self.request
            self.parser.feed_data(b"POST / HTTP/1.1\r\n" + self.body_framing + b"\r\n")
            self.request = request

    def on_message_begin(self) -> None:
        """Start a new request."""
        super().on_message_begin()
        self.request, self.body_framing = Request(), b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._count_head_bytes(len(url))
        self.request.target += url

    def _store_header(self, name: bytes, value: bytes) -> None:
        """Validate a header, and store or forward its value."""
        key = name.lower()
        set_value = HEADER_SETTERS.get(key)
        if set_value is not None:
            set_value(self.request, value)
        if key == b"content-length":
            if content_length_exceeds(value, self.max_body_bytes):
                raise MalformedMessageError(413, "the body is too large")
            if content_length_exceeds(value, 0):
                self.body_framing = b"Content-Length: %b\r\n" % value
        elif key == b"transfer-encoding":
            if value.strip().lower() != b"chunked":  # the parser accepts other codings
                raise MalformedMessageError(400, "the only supported transfer coding is chunked")
            self.body_framing = b"Transfer-Encoding: chunked\r\n"
        elif key in FORWARDED_HEADERS:
            self.request.forwarded_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Validate the request line, and let a client that waits for `100 Continue` send the body."""
        super().on_headers_complete()
        request = self.request
        request.method = self.parser.get_method()
        if request.method not in SUPPORTED_METHODS or self.parser.get_http_version() not in ("1.1", "1.0"):
            raise MalformedMessageError(400, "the method or the HTTP version is not supported")
        request.keep_alive = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        if request.expects_continue:
            self.on_continue()

    def on_message_complete(self) -> None:
        """Add the request to the completed ones.

        The parser also calls this at the end of a head that offers an upgrade, although a body follows.
        """
        if self.parser.should_upgrade() and self.body_framing:
            return
        # The reader of an idle connection keeps no request in memory.
        request, self.request, self.in_body = self.request, NO_REQUEST, False
        request.body, self.body_parts = self.body(), []
        self.completed.append(request)


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


class ResponseReader(_Reader):
    """Parses the bytes that arrive on one connection into responses, one to each request."""

    def __init__(self, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES) -> None:
        super().__init__(max_body_bytes)
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.is_framed = False  # the response declares a length or a transfer coding
        self.completed: Response | None = None
        self.has_trailing_data = False  # bytes follow the response, so the connection must not be used again
        self.interim_count = 0

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, if any.

        Bytes that follow the response do not invalidate it, whatever they are: it is complete and belongs to
        the one request that was outstanding. Only the connection must not be used again.
        """
        self.completed = None
        try:
            self._parse(data)
        except MalformedMessageError:
            if self.completed is None:
                raise
            self.has_trailing_data = True
        completed, self.completed = self.completed, None
        return completed

    def end_of_input(self) -> Response | None:
        """Return the response that the end of the connection completes, if any.

        A response that declares neither a length nor a transfer coding ends with its connection (RFC 9112,
        section 6.3), if that is closed in order. A reset does not complete it.
        """
        if self.in_body and not self.is_framed:
            self.on_message_complete()
        completed, self.completed = self.completed, None
        return completed

    def _feed_parser(self, data: bytes) -> None:
        """Feed the parser, and reject a response that switches protocols (101): no upgrade was offered."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise MalformedMessageError(400, "the response switches to another protocol") from None

    def on_message_begin(self) -> None:
        """Start a new response."""
        if self.completed is not None:
            raise MalformedMessageError(400, "more data follows the response")
        super().on_message_begin()
        self.response, self.is_framed = Response(), False

    def _store_header(self, name: bytes, value: bytes) -> None:
        """Store the value of a header that the proxy uses."""
        key = name.lower()
        if key == b"x-unprocessed":
            self.response.unprocessed = value.strip() == b"1"
        elif key == b"x-backend-load":
            self.response.load_report = value
        elif key == b"content-type":
            self.response.content_type = value
        elif key == b"transfer-encoding":
            self.is_framed = True
        elif key == b"content-length":
            self.is_framed = True
            if content_length_exceeds(value, self.max_body_bytes):
                # Otherwise a response that declares gigabytes would be read up to the limit.
                raise MalformedMessageError(413, "the body is too large")

    def on_message_complete(self) -> None:
        """Complete the response, or discard it if it is an interim one (1xx)."""
        self.in_body = False
        status = self.parser.get_status_code()
        if status < 200:  # the final response follows
            self.body_parts, self.interim_count = [], self.interim_count + 1
            if self.interim_count > MAX_INTERIM_RESPONSES or status < 100:
                raise MalformedMessageError(400, "too many interim responses, or a status below 100")
            return
        response, self.interim_count = self.response, 0
        response.status, response.body, self.body_parts = status, self.body(), []
        response.keep_alive = self.parser.should_keep_alive()
        self.response, self.completed = Response(), response
