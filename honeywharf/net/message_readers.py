"""Incremental readers of HTTP/1.1 requests and responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import httptools

from honeywharf.net.http1 import MalformedMessageError, Request, Response, content_length_exceeds
from honeywharf.net.request_headers import FORWARDED_HEADERS, HEADER_SETTERS

MAX_REQUEST_BODY_BYTES = 64 * 1024
# The service protocol, which states how the clients and backends of this system use HTTP, limits a response
# body to 64 KiB, but valid ones of 400 KB occur. A longer one than this counts as malformed. Many long ones
# at once could exhaust the memory, so the pool limits what they hold together.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_FIELDS = 100  # in the head and the trailers of a message
# The most of a chunked body that is parsed at once. Its chunks may be small, and each costs as much time as a
# large one.
MAX_CHUNKED_PIECE_BYTES = 1024
MAX_HEAD_BYTES = 16 * 1024  # with the blank lines before it
BLANK_LINE = b"\r\n\r\n"  # ends each head and each chunked body
MAX_INTERIM_RESPONSES = 8  # 1xx responses before one final response
SUPPORTED_METHODS = frozenset((b"GET", b"POST", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH"))
NO_REQUEST = Request()  # the placeholder while no request is being read


class MessageReader:
    """The base of both readers. It limits the size of head and body, whatever length a message declares.

    The input is parsed in pieces, and a head ends with its piece. So neither the limits nor what is parsed
    depend on how the input was cut. The parser calls the methods `on_...` while it is fed a piece.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.input = bytearray()  # what is left to parse
        self.last_parsed = b""  # the end of what has been parsed of the current message
        self.in_head = self.in_body = False
        self.head_bytes = self.field_count = 0
        self.message_bytes = 0  # what has been parsed of the current message, with its framing
        # The size of the input that was framing or trailers alone, since the last part of the body.
        self.framing_bytes = 0
        self.has_progressed = False  # the input that is being parsed ended the head or has a part of the body
        # One buffer, because an object for each part would hold many times the bytes of small parts.
        self.body_buffer = bytearray()
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    @property
    def idle(self) -> bool:
        """Whether no message is incomplete, and no input is left to parse."""
        return not self.in_head and not self.in_body and not self.has_input

    @property
    def has_input(self) -> bool:
        """Whether input is left to parse."""
        return bool(self.input)

    def receive(self, data: bytes) -> None:
        """Append input. It is not parsed yet."""
        self.input += data

    @property
    def held_bytes(self) -> int:
        """How much the input and the incomplete message hold."""
        return len(self.input) + len(self.body_buffer)

    def discard(self) -> None:
        """Drop the input that is left to parse, and the incomplete message."""
        self.input, self.body_buffer = bytearray(), bytearray()

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.in_head, self.field_count, self.body_buffer = True, 0, bytearray()

    def on_headers_complete(self) -> None:
        """Expect the body from now on."""
        self.in_head, self.in_body = False, True
        self.has_progressed, self.framing_bytes = True, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field. A trailer field, which follows the body, is only counted.

        A recipient must not take a trailer field for a header (RFC 9110, section 6.5.1).
        """
        self.field_count += 1
        if self.field_count > MAX_FIELDS:
            raise MalformedMessageError(431, "there are too many header or trailer fields")
        if self.in_head:
            self._store_header(name, value)

    def _store_header(self, name: bytes, value: bytes) -> None:
        raise NotImplementedError

    def _count_framing_bytes(self, size: int) -> None:
        self.framing_bytes += size
        if self.framing_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "the chunk extensions or trailers are too large")

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self.has_progressed, self.framing_bytes = True, 0
        if len(self.body_buffer) + len(data) > self.max_body_bytes:
            raise MalformedMessageError(413, "the body is too large")
        self.body_buffer += data

    def close(self) -> None:
        """Delete the parser. It refers back to the reader, so both would wait for the garbage collector."""
        self.in_head = self.in_body = False
        self.discard()
        del self.parser

    def _take_body(self) -> bytes:
        """Return the body as far as it has been read, and release the buffer."""
        body, self.body_buffer = bytes(self.body_buffer), bytearray()
        return body

    def _message_ended(self) -> None:
        self.in_head = self.in_body = False
        self.head_bytes, self.message_bytes, self.last_parsed = 0, 0, b""

    def _feed_parser(self, data: bytes) -> None:
        raise NotImplementedError

    def _body_piece_size(self) -> int:
        """Return how much of the input to parse next, in a body."""
        raise NotImplementedError

    def _size_to_blank_line(self, max_size: int) -> int:
        """Return the size of the input up to the end of the next blank line, or else the maximum size."""
        # The blank line may begin in what has been parsed already.
        joint = self.last_parsed + self.input[:len(BLANK_LINE) - 1]
        position = joint.find(BLANK_LINE)
        if position >= 0:
            return position + len(BLANK_LINE) - len(self.last_parsed)
        position = self.input.find(BLANK_LINE, 0, max_size)
        return max_size if position < 0 else position + len(BLANK_LINE)

    def _parse_piece(self) -> None:
        """Parse the next piece of the input. It ends with the current head or body at the latest."""
        was_in_body, self.has_progressed = self.in_body, False
        if was_in_body:
            size = self._body_piece_size()
        else:
            size = self._size_to_blank_line(MAX_HEAD_BYTES - self.head_bytes)
        piece = bytes(self.input[:size])
        del self.input[:size]
        self.last_parsed = (self.last_parsed + piece[1 - len(BLANK_LINE):])[1 - len(BLANK_LINE):]
        self.message_bytes += len(piece)
        if not was_in_body:
            self.head_bytes += len(piece)
        self._parse(piece)
        if not self.in_body and self.head_bytes >= MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "the head is too large")
        if was_in_body and self.in_body and not self.has_progressed:
            self._count_framing_bytes(len(piece))

    def _parse(self, data: bytes) -> None:
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            raise _error_of_callback(error) or MalformedMessageError(400, str(error)) from None


def _error_of_callback(error: httptools.HttpParserError) -> MalformedMessageError | None:
    """Return the error that a callback raised and the parser wrapped in one of its own, if any.

    This is a function of its own, because a local variable that refers to an error which is then raised would
    keep the error, its traceback and the input alive until the garbage collector finds them.
    """
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, MalformedMessageError):
        cause = cause.__cause__ or cause.__context__
    return cause


class RequestReader(MessageReader):
    """Parses the bytes that one client sends into requests, one at a time.

    No request is parsed before the one before it has been taken: it may never be served. `on_continue` is
    called for each request whose client waits for `100 Continue` before it sends the body.
    """

    def __init__(self, on_continue: Callable[[], None]) -> None:
        super().__init__(MAX_REQUEST_BODY_BYTES)
        self.on_continue = on_continue
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.request = NO_REQUEST
        self.body_framing = b""  # the header line that announces a body of the current request
        self.content_length: int | None = None  # None if the current request declares none
        self.completed: deque[Request] = deque()  # at most one, or a few that malformed line ends separate
        self.error: MalformedMessageError | None = None

    @property
    def has_input(self) -> bool:
        """Whether input is left to parse, or a request to take."""
        return super().has_input or bool(self.completed)

    @property
    def held_bytes(self) -> int:
        """How much the input and the incomplete request hold."""
        return super().held_bytes + self.request.held_bytes

    def discard(self) -> None:
        """Drop the input that is left to parse, and the incomplete request."""
        super().discard()
        self.request = NO_REQUEST

    def next_request(self) -> Request | None:
        """Return the next request, or None if it is incomplete. Sets `error` if it is malformed.

        Of a chunked body, one piece is parsed at a time, so input may be left although this returns None.
        """
        while not self.completed and self.error is None and self.has_input:
            was_in_chunked_body = self.in_body and self.content_length is None
            try:
                self._parse_piece()
            except MalformedMessageError as error:
                # A copy, because the traceback of the original refers to the reader and to the input.
                self.error = MalformedMessageError(error.status, str(error))
                self.discard()
            if was_in_chunked_body:
                break
        return self.completed.popleft() if self.completed else None

    def _body_piece_size(self) -> int:
        if self.content_length is None:
            return self._size_to_blank_line(MAX_CHUNKED_PIECE_BYTES)
        return self.content_length - len(self.body_buffer)

    def _feed_parser(self, data: bytes) -> None:
        """Feed the parser, and ignore offers to upgrade the connection (RFC 9110, section 7.8).

        The parser ends a request with such an offer at the end of its head, as if its body were data of the
        other protocol, and parses nothing after it.
        """
        unread: bytes | memoryview = data
        while True:
            try:
                self.parser.feed_data(unread)
                return
            except httptools.HttpParserUpgrade as upgrade:
                offset: int = upgrade.args[0]
                unread = memoryview(unread)[offset:]
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
        self.request, self.body_framing, self.content_length = Request(), b"", None

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
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
                self.content_length = int(value)
                self.body_framing = b"Content-Length: %b\r\n" % value
        elif key == b"transfer-encoding":
            if value.strip().lower() != b"chunked":  # the parser accepts other codings
                raise MalformedMessageError(400, "the only supported transfer coding is chunked")
            self.body_framing = b"Transfer-Encoding: chunked\r\n"
        elif key in FORWARDED_HEADERS:
            self.request.forwarded_lines += b"%b: %b\r\n" % (name, value)

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
        request, self.request = self.request, NO_REQUEST
        self._message_ended()
        request.body = self._take_body()
        self.completed.append(request)


class ResponseReader(MessageReader):
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
        self.receive(data)
        try:
            while self.completed is None and self.has_input:
                self._parse_piece()
        except MalformedMessageError:
            if self.completed is None:
                raise
            self.has_trailing_data = True
        if self.has_input:
            self.has_trailing_data = True
            self.discard()
        completed, self.completed = self.completed, None
        return completed

    def _body_piece_size(self) -> int:
        return len(self.input)

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
        self._message_ended()
        status = self.parser.get_status_code()
        if status < 200:  # the final response follows
            self.body_buffer, self.interim_count = bytearray(), self.interim_count + 1
            if self.interim_count > MAX_INTERIM_RESPONSES or status < 100:
                raise MalformedMessageError(400, "too many interim responses, or a status below 100")
            return
        response, self.interim_count = self.response, 0
        response.status, response.body = status, self._take_body()
        response.keep_alive = self.parser.should_keep_alive()
        self.response, self.completed = Response(), response
