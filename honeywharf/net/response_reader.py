"""An incremental reader of HTTP/1.1 responses."""

from __future__ import annotations

import httptools

from honeywharf.net.http1 import MalformedMessageError, Response, content_length_exceeds
from honeywharf.net.message_reader import MessageReader

# The service protocol, which states how the clients and backends of this system use HTTP, limits a response
# body to 64 KiB, but valid ones of 400 KB occur. A longer one than this counts as malformed. Many long ones
# at once could exhaust the memory, so the pool limits what they hold together.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_INTERIM_RESPONSES = 8  # 1xx responses before one final response


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
