"""Accepts the connections of clients, also while system calls fail for moments.

The event loop library has a listener of its own. It is not used, because it closes all connections that wait,
unanswered, when one of them cannot be accepted for lack of a file descriptor.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter
from collections.abc import Callable

from honeywharf.net.log import log

#: More connections that wait are accepted in the next iteration of the event loop, after other events.
MAX_ACCEPTS_PER_ITERATION = 16
#: The listener is closed after this many connections at the latest, although clients go on connecting.
MAX_ACCEPTS_BEFORE_CLOSE = 1024
#: After this many errors in a row of a kind that lasts for a moment, such as the lack of a file descriptor,
#: there is a pause. After fewer, the next iteration of the event loop tries again: many clients may wait.
ERRORS_BEFORE_PAUSE = 3
PAUSE_S = 0.01
#: Errors that concern the connection that was to be accepted, and not the listener (accept(2)).
CONNECTION_ERRNOS = frozenset({
    errno.ECONNABORTED, errno.EINTR, errno.EPERM, errno.EPROTO, errno.ENETDOWN, errno.ENETUNREACH,
    errno.ENONET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENOPROTOOPT, errno.EOPNOTSUPP,
})


class Acceptor:
    """Accepts connections from a listening socket, and starts a protocol on each.

    `free_descriptor` is called when no descriptor is available. `on_idle` is called when the listener is
    closed, and no accepted connection is without its protocol.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: socket.socket,
        protocol_factory: Callable[[], asyncio.BufferedProtocol], free_descriptor: Callable[[], object],
        on_idle: Callable[[], None],
    ) -> None:
        self.loop, self.listener, self.protocol_factory = loop, listener, protocol_factory
        self.free_descriptor, self.on_idle = free_descriptor, on_idle
        self.counts: Counter[str] = Counter()  # event counters for the `connections` line of the log
        self.stopping = False  # the listener is closed as soon as no connection waits
        self.accepts_left = MAX_ACCEPTS_BEFORE_CLOSE  # while stopping
        self.closed = False
        self._errors_in_row = 0
        self._setup_tasks: set[asyncio.Task[object]] = set()
        listener.setblocking(False)
        loop.add_reader(listener.fileno(), self._accept_waiting)

    @property
    def idle(self) -> bool:
        """Whether the listener is closed, and each accepted connection has its protocol."""
        return self.closed and not self._setup_tasks

    def stop(self) -> None:
        """Close the listener once the connections that wait are accepted.

        Otherwise closing it would reset them and lose requests that the kernel has already received. Some may
        wait although the event loop runs, because the timer that stops the listener may run before its
        events.
        """
        if not self.closed:
            self.stopping = True
            self._accept_waiting()

    def _accept_waiting(self) -> None:
        """Accept some of the connections that wait; if none is left, close a listener that is stopping."""
        if self.closed:
            return
        none_waits = self._accept_some()
        if self.stopping:
            self.accepts_left -= MAX_ACCEPTS_PER_ITERATION
            if none_waits or self.accepts_left <= 0:
                self._close()

    def _accept_some(self) -> bool:
        """Accept some of the connections that wait, and return whether none is left."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                connection, _address = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                self.counts["accept errors"] += 1
                if error.errno not in CONNECTION_ERRNOS:
                    self._handle_shortage(error)
                    return False
            else:
                self._errors_in_row = 0
                self._set_up(connection)
        return False

    def _handle_shortage(self, error: OSError) -> None:
        """Go on later. The connections wait in the operating system for so long."""
        if error.errno == errno.EMFILE:
            self.free_descriptor()
        self._errors_in_row += 1
        if self._errors_in_row >= ERRORS_BEFORE_PAUSE:
            self.loop.remove_reader(self.listener.fileno())
            self.loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        if not self.closed:
            self.loop.add_reader(self.listener.fileno(), self._accept_waiting)
            self._accept_waiting()

    def _set_up(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task = self.loop.create_task(self._start_protocol(connection))
        self._setup_tasks.add(task)
        task.add_done_callback(self._set_up_done)

    async def _start_protocol(self, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol_factory, connection)
        except OSError as error:
            log(f"a connection was accepted, but could not be set up: {error.strerror or error}")
            connection.close()

    def _set_up_done(self, task: asyncio.Task[object]) -> None:
        self._setup_tasks.discard(task)
        if self.idle:
            self.on_idle()

    def _close(self) -> None:
        self.closed = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()
        if self.idle:
            self.on_idle()
