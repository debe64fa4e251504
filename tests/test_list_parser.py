"""The incremental parser of endpoint lists."""

from __future__ import annotations

import itertools
import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from honeywharf.net.list_parser import MAX_ELEMENT_CHARS, ListParser, ListSyntaxError

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda children: st.lists(children, max_size=3) | st.dictionaries(st.text(), children, max_size=3),
    max_leaves=6)
LISTS = st.builds(
    lambda members, entries: {**members, "instances": entries},
    st.dictionaries(st.sampled_from(["generation", "reset", "other", ""]), VALUES, max_size=3),
    st.lists(VALUES.filter(lambda value: value is not None), max_size=5))


def parse(raw: bytes, cuts: list[int]) -> ListParser[Any]:
    parser: ListParser[Any] = ListParser(lambda value: value)
    edges = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]
    for start, end in itertools.pairwise(edges):
        parser.feed(raw[start:end])
    parser.finish()
    return parser


@given(LISTS, st.lists(st.integers(0, 10_000), max_size=20), st.sampled_from([None, 2]), st.booleans())
def test_a_list_is_the_same_however_it_is_cut_and_indented(
    value: dict[str, Any], cuts: list[int], indent: int | None, is_ascii: bool,
) -> None:
    raw = json.dumps(value, indent=indent, ensure_ascii=is_ascii).encode(errors="surrogatepass")
    try:
        raw.decode()
    except UnicodeDecodeError:
        with pytest.raises(ListSyntaxError):
            parse(raw, cuts)
        return
    parser = parse(raw, cuts)
    assert parser.entries == value["instances"]
    assert parser.members == {name: member for name, member in value.items() if name != "instances"}


@pytest.mark.parametrize("raw", [
    b"", b"[]", b"5", b"{", b"{}", b'{"instances": 5}', b'{"instances": [}', b'{"instances": [1 2]}',
    b'{"instances": [1,]}', b'{"instances": [1],}', b'{,"instances": [1]}',
    b'{"instances": []} {}', b'{"instances": [],, "generation": 1}', b'{5: []}', b'{"instances" []}',
    b'{"generation": 1', b'{"instances": [{"a": 1}', b"\xff\xfe", b'{"instances": ["\xff"]}',
    b'{"instances": [' + b"[" * 60_000, b'{"generation": ' + b"1" * 5000 + b', "instances": []}',
])
def test_text_that_is_no_list_is_an_error(raw: bytes) -> None:
    for cuts in ([], list(range(len(raw)))[:200]):
        with pytest.raises(ListSyntaxError):
            parse(raw, cuts)


def test_text_is_held_no_longer_than_an_element_may_be() -> None:
    """Guards against a discovery that sends an element without an end."""
    parser: ListParser[Any] = ListParser(lambda value: value)
    parser.feed(b'{"instances": ["')
    while len(parser._text) + 8192 <= MAX_ELEMENT_CHARS:
        parser.feed(b"x" * 8192)
    with pytest.raises(ListSyntaxError, match="too long"):
        parser.feed(b"x" * 8192)
