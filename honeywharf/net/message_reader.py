"""The base of the incremental readers of HTTP/1.1 messages, and the limits that both kinds share."""

from __future__ import annotations

import httptools

from honeywharf.net.http1 import MalformedMessageError

MAX_FIELDS = 100  # in the head and the trailers of a message
MAX_HEAD_BYTES = 16 * 1024  # with the blank lines before it
BLANK_LINE = b"\r\n\r\n"  # ends each head and each chunked body


class MessageReader:
    """The base of the readers. It limits the size of head and body, whatever length a message declares.

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
        self.part_count = 0  # the parts in which the body has been received, each of which costs time
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
        self.part_count = 0

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
        self.part_count += 1
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
