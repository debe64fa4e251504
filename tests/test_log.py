"""The log stream: what it holds, loses and writes while nobody reads it."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator

import pytest

from honeywharf.net.log import MAX_HELD_BYTES, MAX_LINE_BYTES, LogStream

PIPE_BYTES = 4096


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def read_until(reader: int, stream: LogStream, last: str) -> list[str]:
    text = b""
    while not text.endswith(last.encode() + b"\n"):
        text += os.read(reader, PIPE_BYTES)
        stream.flush()
    return text.decode().splitlines()


def test_lines_are_held_in_order_while_nobody_reads_and_lost_ones_are_counted(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    stream = LogStream(writer)
    for number in range(2000):
        print(f"line {number} {'x' * 90}", file=stream, flush=True)
    assert stream.lost_line_count > 0
    assert stream._held_bytes <= MAX_HELD_BYTES
    kept_count = 2000 - stream.lost_line_count
    lines = read_until(reader, stream, f"line {kept_count - 1} {'x' * 90}")
    assert [line.split()[1] for line in lines] == [str(number) for number in range(kept_count)]
    print("last", file=stream)
    assert read_until(reader, stream, "last") == [f"{2000 - kept_count} lines of the log are lost", "last"]


def test_a_line_is_written_whole_if_the_pipe_takes_it_in_parts(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    os.set_blocking(writer, False)
    os.write(writer, b"\0" * (PIPE_BYTES - 1))
    stream = LogStream(writer)
    print("a" * 100, file=stream)
    assert os.read(reader, PIPE_BYTES - 1) == b"\0" * (PIPE_BYTES - 1)
    stream.flush()
    assert os.read(reader, PIPE_BYTES) == b"a" * 100 + b"\n"


@pytest.mark.parametrize("text", ["x" * 10_000 + "\n", "x" * 10_000, "\udcff" * 10_000 + "\n"])
def test_a_long_line_is_cut(pipe: tuple[int, int], text: str) -> None:
    reader, writer = pipe
    stream = LogStream(writer)
    stream.write(text)
    stream.write("\nlast\n")
    lines = read_until(reader, stream, "last")
    assert max(len(line) for line in lines) <= MAX_LINE_BYTES


@pytest.mark.parametrize("failure", ["full", "reader gone", "closed"])
def test_a_failed_write_does_not_raise(failure: str) -> None:
    if failure == "full":
        descriptor = os.open("/dev/full", os.O_WRONLY)
    else:
        reader, descriptor = os.pipe()
        os.close(reader)
        if failure == "closed":
            os.close(descriptor)
    stream = LogStream(descriptor)
    for _ in range(3):
        print("line", file=stream, flush=True)
    if failure != "closed":
        os.close(descriptor)
