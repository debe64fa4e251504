"""A reader of discovery's responses, which parses the list in a body as it arrives."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.net.endpoint_directory import Entry
from honeywharf.net.http1 import OK, MalformedMessageError, Response
from honeywharf.net.list_parser import ListParser
from honeywharf.net.response_reader import ResponseReader

MAX_LIST_BYTES = 16 * 1024 * 1024


class ListResponseReader(ResponseReader):
    """Reads one response after another. The bodies are not kept, but the lists in those with status 200 are.

    Besides MalformedMessageError, `feed` and `end_of_input` raise ValueError if the body is no list.
    """

    def __init__(self, new_list_parser: Callable[[], ListParser[Entry]]) -> None:
        super().__init__(MAX_LIST_BYTES)
        self.new_list_parser = new_list_parser
        self.list_parser: ListParser[Entry] | None = None  # of the current response, or of the last one
        self.body_bytes = 0

    def on_message_begin(self) -> None:
        """Start a new response."""
        super().on_message_begin()
        self.list_parser, self.body_bytes = None, 0

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise MalformedMessageError(413, "the list is too large")
        super().on_body(data)

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, if any, without its body."""
        response = super().feed(data)
        if response is None:
            self._parse_body(self._take_body())
            return None
        return self._without_body(response)

    def end_of_input(self) -> Response | None:
        """Return the response that the end of the connection completes, if any, without its body."""
        response = super().end_of_input()
        return None if response is None else self._without_body(response)

    def _without_body(self, response: Response) -> Response:
        body, response.body = response.body, b""
        self._parse_body(body)
        return response

    def _parse_body(self, body: bytes) -> None:
        if not body or self.parser.get_status_code() != OK:
            return
        if self.list_parser is None:
            self.list_parser = self.new_list_parser()
        self.list_parser.feed(body)
