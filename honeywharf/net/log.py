"""The log for the operator: plain lines on standard error. Writing to it never waits, and never raises."""

from __future__ import annotations

import io
import os
import select
import stat
import sys
from collections import deque

#: A longer line is cut. A pipe that is writable takes a line of this length at once (PIPE_BUF).
MAX_LINE_BYTES = 2000
#: What is held while the log cannot be written. Further lines are lost.
MAX_HELD_BYTES = 64 * 1024


class LogStream(io.TextIOBase):
    """A text stream for a log whose disk may be full, or whose reader may be slow or gone.

    Lines that cannot be written at once are held, up to a limit, and written with later ones.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._is_file = _is_regular_file(descriptor)
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._incomplete_line = ""
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self.lost_line_count = 0

    def writable(self) -> bool:
        """Return that the stream can be written."""
        return True

    def write(self, text: str) -> int:
        """Write the lines that the text completes, as far as that is possible without waiting."""
        *lines, self._incomplete_line = (self._incomplete_line + text).split("\n")
        self._incomplete_line = self._incomplete_line[:MAX_LINE_BYTES]
        for line in lines:
            self._hold(line)
        if lines:
            self.flush()
        return len(text)

    def flush(self) -> None:
        """Write the held lines, as far as that is possible without waiting."""
        while self._held and self._is_writable():
            try:
                written = os.write(self._descriptor, self._held[0])
            except OSError:  # the disk is full, or the reader is gone: the next flush tries again
                return
            self._held_bytes -= written
            rest = self._held.popleft()[written:]
            if rest:
                self._held.appendleft(rest)

    def _hold(self, line: str) -> None:
        data = line.encode(errors="backslashreplace")[:MAX_LINE_BYTES] + b"\n"
        if self._held_bytes + len(data) > MAX_HELD_BYTES:
            self.lost_line_count += 1
            return
        if self.lost_line_count:
            data = b"%d lines of the log are lost\n%b" % (self.lost_line_count, data)
            self.lost_line_count = 0
        self._held.append(data)
        self._held_bytes += len(data)

    def _is_writable(self) -> bool:
        """Return whether a write does not wait. A pipe is writable if it has room for PIPE_BUF bytes."""
        if self._is_file:
            return True
        try:
            return bool(self._poll.poll(0))
        except OSError:
            return False


def _is_regular_file(descriptor: int) -> bool:
    try:
        return stat.S_ISREG(os.fstat(descriptor).st_mode)
    except OSError:
        return False


def install_log_stream() -> None:
    """Let everything that is written to standard error from now on go through a `LogStream`."""
    sys.stderr = LogStream(2)


def log(message: str) -> None:
    """Write one line to the log."""
    print(message, file=sys.stderr, flush=True)
