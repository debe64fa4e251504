"""Operator log: plain lines on standard error."""

from __future__ import annotations

import sys


def log(message: str) -> None:
    """Write one line for the operator."""
    print(message, file=sys.stderr, flush=True)
