"""An incremental reader of HTTP/1.1 requests."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from honeywharf.net.http1 import MalformedMessageError, Request, content_length_exceeds
from honeywharf.net.message_reader import MessageReader
from honeywharf.net.request_headers import FORWARDED_HEADERS, HEADER_SETTERS

MAX_REQUEST_BODY_BYTES = 64 * 1024
# The most of a chunked body that is parsed at once. Its chunks may be small, and each costs as much time as a
# large one.
MAX_CHUNKED_PIECE_BYTES = 1024
SUPPORTED_METHODS = frozenset((b"GET", b"POST", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH"))
NO_REQUEST = Request()  # the placeholder while no request is being read


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
        self.completed: list[Request] = []  # at most one, or a few that malformed line ends separate
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
        return self.completed.pop(0) if self.completed else None

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
