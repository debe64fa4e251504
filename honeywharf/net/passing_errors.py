"""Errors of system calls that pass by themselves: the machine lacks a resource for a moment."""

from __future__ import annotations

import errno

PASSING_ERRNOS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR, errno.EIO,
})
#: At a start, the address may still belong to a predecessor that is about to end.
PASSING_START_ERRNOS = PASSING_ERRNOS | {errno.EADDRINUSE}
