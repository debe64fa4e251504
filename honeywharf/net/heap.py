"""Returns freed memory to the operating system."""

from __future__ import annotations


def release_free_memory() -> None:
    """Return memory that is not in use any more to the operating system, as far as the C library can.

    This takes about a millisecond.
    """
    import ctypes  # only here: it holds a quarter of a megabyte, and most processes never need it

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
