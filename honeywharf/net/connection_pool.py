"""All connections to all backends, within one bound: which of them carries a call, or that a new one does."""

from __future__ import annotations

import asyncio
import errno

from honeywharf import interface as api
from honeywharf.net.backend import Backend, Connection, Dial
from honeywharf.net.calls import Call
from honeywharf.net.clock import TIMER_TOLERANCE_MS, Clock
from honeywharf.net.config import Address
from honeywharf.net.connect_times import ConnectTimes

# A backend closes an idle connection at the latest after the time in the settings, counted from when it wrote
# its last byte: a connection nearer to that than this is closed, as a request on it would end as a reset.
IDLE_MARGIN_MS = 750.0
# A connection is not used again so soon after its answer: a backend may send a second one some milliseconds
# late, and it would be taken for the next request's. Costs a busy pool about one connection more.
REUSE_DELAY_MS = 25.0
SWEEP_S = 0.5
MAX_DOUBLINGS = 10  # of the patience with a connection: far over any time-out by then
OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """All connections to all backends, within one bound."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, limits: api.Limits, max_connections: int,
    ) -> None:
        self.loop, self.clock, self.max_connections = loop, clock, max_connections
        self.connect_timeout_s = (limits.connect_timeout_ms or 1000.0) / 1000.0
        self.idle_ms = (
            max(0.0, limits.idle_timeout_ms - IDLE_MARGIN_MS) if limits.idle_timeout_ms else 60000.0)
        self.backends: dict[str, Backend] = {}
        self.count = 0  # connections open or opening
        self.handshakes = 0
        self.bytes_read = 0  # of answers that have begun and not ended
        self.slow_connect_count = 0  # connections that did not come up in time
        self.connect_times = ConnectTimes()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        loop.call_later(SWEEP_S, self._sweep)

    # The list.

    def set_endpoint(
        self, endpoint: str, address: Address, started_ms: float | None, *, accepts_calls: bool,
    ) -> None:
        """Add or update an endpoint; a changed address or start time closes its idle connections."""
        known = self.backends.get(endpoint)
        if known is None or known.address != address or known.started_ms != started_ms:
            if known is not None:
                self._retire(known)
            host = f"{address[0]}:{address[1]}"
            self.backends[endpoint] = known = Backend(address, started_ms, host.encode())
        known.accepts_calls = accepts_calls
        if not accepts_calls:
            self._retire(known)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint: nothing can be sent to it any more."""
        backend = self.backends.pop(endpoint, None)
        if backend is not None:
            self._retire(backend)

    def has_endpoint(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""
        return endpoint in self.backends

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        backend = self.backends.get(endpoint)
        if backend is not None:
            self._close_idle(backend)

    def _retire(self, backend: Backend) -> None:
        """Stop sending on a backend's connections, those still being opened included."""
        backend.accepts_calls = False
        self._fail_all_waiting(backend)
        self._close_idle(backend)

    def _close_idle(self, backend: Backend) -> None:
        while backend.idle:
            backend.idle[-1].drop()

    # Calls.

    def start(self, call: Call) -> None:
        """Send the call on an idle connection, or queue it for the next one that is free."""
        backend = self.backends[call.endpoint]
        connection = self._take_idle(backend)
        if connection is not None:
            connection.carry(call)
            return
        call.awaiting_connection = True
        backend.waiting[call] = self.loop.call_later(
            self.connect_timeout_s, self._waited_too_long, call, backend)
        self._serve_when_settled(backend)
        self._dial_for_waiting(backend)

    def abort(self, call: Call) -> None:
        """Abort the call: closing its connection is how the backend learns of it."""
        connection, call.connection = call.connection, None
        if call.awaiting_connection:
            self._stop_waiting(call, self.backends[call.endpoint])
        elif isinstance(connection, Connection):
            connection.call = None
            connection.drop()

    def has_unwritten_data(self, call: Call) -> bool:
        """Whether part of the call is not written yet: aborted now, it never runs."""
        connection = call.connection
        return call.awaiting_connection or (isinstance(connection, Connection) and connection.unsent)

    def fail_unsent(self, call: Call, outcome: api.Outcome) -> None:
        """End a call of which nothing was written."""
        call.complete(outcome, None)

    def _take_idle(self, backend: Backend) -> Connection | None:
        """The connection used last, of those that have settled and are still good."""
        now = self.clock.now()
        oldest = now - min(self.idle_ms, backend.idle_ms)
        for connection in [c for c in reversed(backend.idle) if c.answered_ms <= now - REUSE_DELAY_MS]:
            backend.idle.remove(connection)
            if (connection.idle_since > oldest and not connection.transport.is_closing()
                    and not connection.stale()):
                return connection
            connection.drop()
        return None

    # Calls that wait for a connection.

    def _stop_waiting(self, call: Call, backend: Backend) -> None:
        backend.waiting.pop(call).cancel()
        call.awaiting_connection = False

    def _fail_waiting(self, call: Call, backend: Backend, outcome: api.Outcome) -> None:
        """End a call of which nothing has left. Its end never comes from within `start`."""
        self._stop_waiting(call, backend)
        self.loop.call_soon(self.fail_unsent, call, outcome)

    def _fail_all_waiting(self, backend: Backend) -> None:
        """Guards against calls that reach a backend past the grace: their connection may take longer."""
        for call in list(backend.waiting):
            self._fail_waiting(call, backend, api.Outcome.NOT_SENT)

    def _fail_excess(self, backend: Backend, outcome: api.Outcome) -> None:
        """End the oldest of the calls that are more than the connections coming up."""
        while len(backend.waiting) > len(backend.dials):
            self._fail_waiting(next(iter(backend.waiting)), backend, outcome)

    def _waited_too_long(self, call: Call, backend: Backend) -> None:
        self._fail_waiting(call, backend, api.Outcome.CONNECT_TIMEOUT)

    def _serve_waiting(self, backend: Backend) -> None:
        """Put calls that wait on the connections that are free, the oldest first."""
        while backend.waiting:
            connection = self._take_idle(backend)
            if connection is None:
                self._serve_when_settled(backend)
                return
            call = next(iter(backend.waiting))
            self._stop_waiting(call, backend)
            connection.carry(call)

    def _serve_when_settled(self, backend: Backend) -> None:
        """Come back to the calls that wait once the next kept connection may be used again."""
        if backend.idle and backend.settling is None:
            due_ms = min(c.answered_ms for c in backend.idle) + REUSE_DELAY_MS + TIMER_TOLERANCE_MS
            wait_s = max(0.0, due_ms - self.clock.now()) / 1000.0
            backend.settling = self.loop.call_later(wait_s, self._settled, backend)

    def _settled(self, backend: Backend) -> None:
        backend.settling = None
        self._serve_waiting(backend)

    # Opening connections.

    def _dial_for_waiting(self, backend: Backend) -> None:
        """Keep as many connections coming up in time as calls wait.

        One that is late does not count, so that a further one is dialled beside it; whichever comes up first
        serves the call that has waited longest, and the others are kept.
        """
        while sum(not d.late for d in backend.dials) < len(backend.waiting):
            spare = len(backend.dials) >= len(backend.waiting)
            if self.count >= self.max_connections and (spare or not self._evict_idle()):
                # Guards against blaming the backend for what this proxy lacks.
                self._fail_excess(backend, api.Outcome.NOT_SENT)
                return
            self._dial(backend)

    def _dial(self, backend: Backend) -> None:
        """Open one connection. Each late one doubles the patience with the next, until one is in time.

        Guards against dialling a backend that does not answer, or is slow to, over and over.
        """
        self.count += 1
        self.handshakes += 1
        dial = Dial(self.clock.now())
        backend.dials.add(dial)
        patience_ms = self.connect_times.patience_ms() * 2.0 ** min(backend.late_in_a_row, MAX_DOUBLINGS)
        if patience_ms < self.connect_timeout_s * 1000.0:
            dial.timer = self.loop.call_later(patience_ms / 1000.0, self._is_late, dial, backend)
        task = self.loop.create_task(self._open(dial, backend))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def _is_late(self, dial: Dial, backend: Backend) -> None:
        dial.late = True
        self.slow_connect_count += 1
        backend.late_in_a_row += 1
        self._serve_waiting(backend)
        self._dial_for_waiting(backend)

    async def _open(self, dial: Dial, backend: Backend) -> None:
        """Open a connection. What goes wrong here (no descriptor too) has sent nothing."""
        connection = Connection(self, backend)
        outcome = api.Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError, ValueError) as fault:
            if isinstance(fault, TimeoutError):
                outcome = api.Outcome.CONNECT_TIMEOUT
            elif isinstance(fault, OSError) and fault.errno in OWN_FAULTS:
                outcome = api.Outcome.NOT_SENT
            if not connection.closed:
                # One that came up as its time ran out is lost too: guards against counting it off twice.
                connection.leave_pool()
        backend.dials.discard(dial)
        if dial.timer is not None:
            dial.timer.cancel()
        if connection.closed or connection.transport.is_closing():
            connection.drop()
            self._dial_failed(dial, backend, outcome)
            return
        self.connect_times.add(self.clock.now() - dial.started_ms)
        if not dial.late:
            backend.late_in_a_row = 0
        self.release(connection)
        self._serve_waiting(backend)

    def _dial_failed(self, dial: Dial, backend: Backend, outcome: api.Outcome) -> None:
        """Go on without the connection. What fails at once is not dialled again for the same call.

        Guards against dialling a backend that refuses over and over while another connection to it is late.
        """
        if outcome is api.Outcome.CONNECT_FAILED:
            if backend.waiting:
                self._fail_waiting(next(iter(backend.waiting)), backend, outcome)
            self._dial_for_waiting(backend)
            return
        self._fail_excess(backend, outcome)
        if outcome is api.Outcome.CONNECT_TIMEOUT:
            self.connect_times.add(self.clock.now() - dial.started_ms)
            self._dial_for_waiting(backend)

    def release(self, connection: Connection) -> None:
        """Return the connection to its backend's idle ones, unless the backend takes no more calls."""
        if not connection.backend.accepts_calls:
            connection.drop()
            return
        backend = connection.backend
        backend.idle.append(connection)
        if backend.waiting:
            self._serve_when_settled(backend)

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection from the count and from its backend's idle ones."""
        self.count -= 1
        if connection in connection.backend.idle:
            connection.backend.idle.remove(connection)

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest, of all backends."""
        rested = [b.idle[0] for b in self.backends.values() if b.idle]
        if not rested:
            return False
        min(rested, key=lambda c: c.idle_since).drop()
        return True

    def _sweep(self) -> None:
        """Close what has been idle too long before the backend does."""
        now = self.clock.now()
        for backend in self.backends.values():
            oldest = now - min(self.idle_ms, backend.idle_ms)
            while backend.idle and backend.idle[0].idle_since <= oldest:
                backend.idle[0].drop()
        self.loop.call_later(SWEEP_S, self._sweep)
