"""The log for the operator: plain lines on standard error."""

from __future__ import annotations

import sys


def log(message: str) -> None:
    """Write one line to the log."""
    print(message, file=sys.stderr, flush=True)
