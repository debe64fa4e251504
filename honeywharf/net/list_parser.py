"""An incremental parser of endpoint lists: the text of a list is never held whole.

A list is a JSON object with the member `instances`, an array of entries. Each entry is converted, and its
text dropped, as soon as it has arrived.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, Generic, TypeVar

EntryT = TypeVar("EntryT")

#: The longest text of an entry, or of another member of the list.
MAX_ELEMENT_CHARS = 64 * 1024
ENTRIES_KEY = "instances"
_SPACE = re.compile(r"[ \t\n\r]*")


class ListSyntaxError(ValueError):
    """The text is not a list."""


class _State(Enum):
    START = auto()
    FIRST_KEY = auto()  # the key of a member, or the end of the object
    KEY = auto()
    FIRST_ENTRY = auto()  # an entry, or the end of the array
    ENTRY = auto()
    AFTER_ENTRY = auto()
    AFTER_MEMBER = auto()
    DONE = auto()


class ListParser(Generic[EntryT]):
    """Parses one list from its parts.

    `convert` turns the JSON value of an entry into what is kept of it, or into None to keep nothing. After
    `finish`, `entries` holds what was kept, and `members` the values of the other members.
    """

    def __init__(self, convert: Callable[[Any], EntryT | None]) -> None:
        self.convert = convert
        self.entries: list[EntryT] = []
        self.members: dict[str, Any] = {}
        self.has_entries = False  # the member for the entries is there
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._decode_value = json.JSONDecoder().raw_decode
        self._text, self._position = "", 0
        self._state = _State.START

    def feed(self, data: bytes) -> None:
        """Parse as much as the next part of the text completes; raises ListSyntaxError."""
        try:
            self._text = self._text[self._position:] + self._decode(data)
        except UnicodeDecodeError as error:
            raise ListSyntaxError(f"the list is not UTF-8: {error.reason}") from None
        self._position = 0
        while self._step():
            pass
        if len(self._text) - self._position > MAX_ELEMENT_CHARS:
            raise ListSyntaxError("the list is not valid JSON, or an element is too long")

    def finish(self) -> None:
        """End the text; raises ListSyntaxError if the list is incomplete or has no entries."""
        if self._state is not _State.DONE:
            raise ListSyntaxError("the list is not valid JSON, or incomplete")
        if not self.has_entries:
            raise ListSyntaxError("the list has no instances")

    def _step(self) -> bool:
        """Parse the next element, and return whether it was complete."""
        start = self._skip_space(self._position)
        self._position = start
        if start == len(self._text):
            return False
        char = self._text[start]
        if self._state is _State.START:
            return self._expect(char, {"{": _State.FIRST_KEY})
        if self._state is _State.FIRST_KEY and char == "}":
            return self._expect(char, {"}": _State.DONE})
        if self._state in (_State.FIRST_KEY, _State.KEY):
            return self._parse_member(start)
        if self._state is _State.FIRST_ENTRY and char == "]":
            return self._expect(char, {"]": _State.AFTER_MEMBER})
        if self._state in (_State.FIRST_ENTRY, _State.ENTRY):
            return self._parse_entry(start)
        if self._state is _State.AFTER_ENTRY:
            return self._expect(char, {",": _State.ENTRY, "]": _State.AFTER_MEMBER})
        if self._state is _State.AFTER_MEMBER:
            return self._expect(char, {",": _State.KEY, "}": _State.DONE})
        raise ListSyntaxError("more text follows the list")

    def _expect(self, char: str, next_states: dict[str, _State]) -> bool:
        if char not in next_states:
            raise ListSyntaxError(f"the list is not valid JSON: unexpected {char!r}")
        self._state = next_states[char]
        self._position += 1
        return True

    def _skip_space(self, position: int) -> int:
        match = _SPACE.match(self._text, position)
        return position if match is None else match.end()

    def _parse_member(self, start: int) -> bool:
        key = self._parse_value(start)
        if key is None:
            return False
        name, end = key
        if not isinstance(name, str):
            raise ListSyntaxError("the list is not valid JSON: a key is not a string")
        colon = self._skip_space(end)
        value_start = self._skip_space(colon + 1)
        if self._text[colon:colon + 1] != ":" or value_start >= len(self._text):
            return False
        if name == ENTRIES_KEY and self._text[value_start] == "[":
            self.has_entries, self.entries = True, []
            self._state, self._position = _State.FIRST_ENTRY, value_start + 1
            return True
        value = self._parse_value(value_start)
        if value is None:
            return False
        self.members[name], self._position = value
        self._state = _State.AFTER_MEMBER
        return True

    def _parse_entry(self, start: int) -> bool:
        value = self._parse_value(start)
        if value is None:
            return False
        raw, self._position = value
        entry = self.convert(raw)
        if entry is not None:
            self.entries.append(entry)
        self._state = _State.AFTER_ENTRY
        return True

    def _parse_value(self, start: int) -> tuple[Any, int] | None:
        """Return a JSON value and its end, or None if more text is needed to tell its end."""
        try:
            value, end = self._decode_value(self._text, start)
        except RecursionError:
            raise ListSyntaxError("the list is not valid JSON, or nested too deeply") from None
        except ValueError:  # incomplete, or not JSON
            return None
        # Digits may follow a number that is at the end of the text.
        return None if end == len(self._text) else (value, end)
