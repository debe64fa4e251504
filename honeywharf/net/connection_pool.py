"""The pool of connections to all backends: picks the connection for each call, and opens new ones."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter

from honeywharf import interface as api
from honeywharf.net.backend import Backend, BackendAddress, Connection, ListedBackend, PendingConnection
from honeywharf.net.calls import Call
from honeywharf.net.clock import TIMER_TOLERANCE_MS, Clock
from honeywharf.net.close_reason import BackendCloseReason
from honeywharf.net.config import Address
from honeywharf.net.connect_times import ConnectTimes
from honeywharf.net.input_scheduler import InputScheduler
from honeywharf.net.memory_budget import MAX_RESPONSE_MEMORY_BYTES, MemoryBudget

# A backend closes an idle connection at the latest after the idle timeout in the settings, counted from its
# last write. The pool closes a connection this long before that, because a request that is sent on it
# then could end in a reset.
IDLE_TIMEOUT_MARGIN_MS = 750.0
# A connection is not reused until this long after its last response. A backend may send a duplicate response
# some milliseconds later, which would be taken for the response to the next request. The delay costs a busy
# pool about one additional connection.
REUSE_DELAY_MS = 25.0
IDLE_SWEEP_INTERVAL_S = 0.5
# After this many doublings, the slow-connect threshold is far above any connect timeout.
MAX_SLOW_THRESHOLD_DOUBLINGS = 10
# The connect errors that mean that this machine lacks a resource, and say nothing about the backend.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """The connections to all backends, up to a maximum number of connections in total."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, limits: api.Limits, max_connections: int,
        max_response_memory_bytes: int = MAX_RESPONSE_MEMORY_BYTES,
    ) -> None:
        self.loop, self.clock, self.max_connections = loop, clock, max_connections
        self.connect_timeout_s = (limits.connect_timeout_ms or 1000.0) / 1000.0
        self.max_idle_ms = (
            max(0.0, limits.idle_timeout_ms - IDLE_TIMEOUT_MARGIN_MS) if limits.idle_timeout_ms else 60000.0)
        self.endpoints: dict[str, ListedBackend] = {}  # of the current endpoint list
        self.backends: dict[str, Backend] = {}  # those of the endpoints that have been called
        self.total_connections = 0  # established or pending
        self.handshakes = 0  # connects started
        self.response_memory = MemoryBudget(max_response_memory_bytes)  # of all responses that are incomplete
        self.input_scheduler = InputScheduler(loop, clock)
        self.established: set[Connection] = set()
        self.slow_connect_count = 0  # connects that exceeded the slow-connect threshold
        self.counts: Counter[str] = Counter()  # event counters for the `stats` line of the log
        self.close_counts: Counter[str] = Counter()  # for the `connections` line: closes by their reason
        self.connect_times = ConnectTimes()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        loop.call_later(IDLE_SWEEP_INTERVAL_S, self._close_expired_connections)

    # Endpoints.

    def set_endpoint(
        self, endpoint: str, address: Address, started_ms: float | None, *, accepts_calls: bool,
    ) -> None:
        """Add or update an endpoint by the values that describe it."""
        self.update_endpoint(endpoint, BackendAddress(address, started_ms, accepts_calls))

    def update_endpoint(self, endpoint: str, listed: ListedBackend) -> None:
        """Add or update an endpoint.

        If its address or start time has changed, its idle connections are closed and its waiting calls end.
        """
        current, self.endpoints[endpoint] = self.endpoints.get(endpoint), listed
        if current is not None and (
                (current.address, current.started_ms) != (listed.address, listed.started_ms)):
            self._forget_backend(endpoint)
        backend = self.backends.get(endpoint)
        if backend is not None:
            backend.accepts_calls = listed.accepts_calls
            if not backend.accepts_calls:
                self._stop_sending(backend)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint, so that nothing is sent to it any more."""
        self.endpoints.pop(endpoint, None)
        self._forget_backend(endpoint)

    def has_endpoint(self, endpoint: str) -> bool:
        """Return whether the endpoint is in the current endpoint list."""
        return endpoint in self.endpoints

    def _forget_backend(self, endpoint: str) -> None:
        backend = self.backends.pop(endpoint, None)
        if backend is not None:
            self._stop_sending(backend)

    def _backend(self, endpoint: str) -> Backend:
        """Return the state of a listed endpoint's backend.

        It is made at the first call: a proxy with little traffic calls few of thousands of endpoints.
        """
        backend = self.backends.get(endpoint)
        if backend is None:
            listed = self.endpoints[endpoint]
            backend = self.backends[endpoint] = Backend(listed.address, accepts_calls=listed.accepts_calls)
        return backend

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        backend = self.backends.get(endpoint)
        if backend is not None:
            self._close_idle(backend)

    def _stop_sending(self, backend: Backend) -> None:
        """Stop sending calls to a backend, also on its pending connections."""
        backend.accepts_calls = False
        self._fail_all_waiting_calls(backend)
        self._close_idle(backend)

    def _close_idle(self, backend: Backend) -> None:
        while backend.idle_connections:
            backend.idle_connections[-1].close(BackendCloseReason.ENDPOINT_UNUSED)

    # Calls.

    def start(self, call: Call) -> None:
        """Send the call on an idle connection, or queue it for the next one that becomes available."""
        backend = self._backend(call.endpoint)
        connection = self._take_idle_connection(backend)
        if connection is not None:
            connection.send_call(call)
            return
        call.awaiting_connection = True
        backend.waiting_calls[call] = self.loop.call_later(
            self.connect_timeout_s, self._connect_timed_out, call, backend)
        self._schedule_reuse(backend)
        self._connect_for_waiting_calls(backend)

    def abort(self, call: Call) -> None:
        """Abort the call. Closing its connection, if it has one, tells the backend about the abort."""
        connection, call.connection = call.connection, None
        if call.awaiting_connection:
            self._stop_waiting(call, self.backends[call.endpoint])
        elif isinstance(connection, Connection):
            connection.call = None
            connection.close(BackendCloseReason.CALL_ENDED)

    def has_unwritten_data(self, call: Call) -> bool:
        """Return whether part of the call is not written yet; if so, a call aborted now is never executed."""
        connection = call.connection
        return call.awaiting_connection or (
            isinstance(connection, Connection) and connection.has_unwritten_data)

    def fail_unsent(self, call: Call, outcome: api.Outcome) -> None:
        """End a call of which no byte has been written."""
        call.complete(outcome, None)

    def _take_idle_connection(self, backend: Backend) -> Connection | None:
        """Take the most recently used connection that is still usable and whose reuse delay has passed."""
        now = self.clock.now()
        min_idle_since_ms = now - min(self.max_idle_ms, backend.max_idle_ms)
        for connection in [
            c for c in reversed(backend.idle_connections) if c.last_response_ms <= now - REUSE_DELAY_MS
        ]:
            backend.idle_connections.remove(connection)
            if (connection.idle_since_ms > min_idle_since_ms and not connection.transport.is_closing()
                    and not connection.has_unread_input()):
                return connection
            connection.close(BackendCloseReason.IDLE)
        return None

    # Waiting calls.

    def _stop_waiting(self, call: Call, backend: Backend) -> None:
        backend.waiting_calls.pop(call).cancel()
        call.awaiting_connection = False

    def _fail_waiting_call(self, call: Call, backend: Backend, outcome: api.Outcome) -> None:
        """End a waiting call. Its outcome is reported later, never from within `start`."""
        self._stop_waiting(call, backend)
        self.loop.call_soon(self.fail_unsent, call, outcome)

    def _fail_all_waiting_calls(self, backend: Backend) -> None:
        """End all calls that wait for a connection to the backend.

        A pending connection may take longer to be established than the grace period of a draining backend.
        The calls would then reach the backend after that period.
        """
        for call in list(backend.waiting_calls):
            self._fail_waiting_call(call, backend, api.Outcome.NOT_SENT)

    def _fail_excess_calls(self, backend: Backend, outcome: api.Outcome) -> None:
        """End the oldest waiting calls until there are no more of them than pending connections."""
        while len(backend.waiting_calls) > len(backend.pending_connections):
            self._fail_waiting_call(next(iter(backend.waiting_calls)), backend, outcome)

    def _connect_timed_out(self, call: Call, backend: Backend) -> None:
        self._fail_waiting_call(call, backend, api.Outcome.CONNECT_TIMEOUT)

    def _send_waiting_calls(self, backend: Backend) -> None:
        """Send the waiting calls on the connections that are available, the oldest call first."""
        while backend.waiting_calls:
            connection = self._take_idle_connection(backend)
            if connection is None:
                self._schedule_reuse(backend)
                return
            call = next(iter(backend.waiting_calls))
            self._stop_waiting(call, backend)
            connection.send_call(call)

    def _schedule_reuse(self, backend: Backend) -> None:
        """Arrange to send waiting calls when the reuse delay of the next idle connection has passed."""
        if backend.idle_connections and backend.reuse_timer is None:
            due_ms = (
                min(c.last_response_ms for c in backend.idle_connections)
                + REUSE_DELAY_MS + TIMER_TOLERANCE_MS)
            wait_s = max(0.0, due_ms - self.clock.now()) / 1000.0
            backend.reuse_timer = self.loop.call_later(wait_s, self._reuse_timer_fired, backend)

    def _reuse_timer_fired(self, backend: Backend) -> None:
        backend.reuse_timer = None
        self._send_waiting_calls(backend)

    # Opening connections.

    def _connect_for_waiting_calls(self, backend: Backend) -> None:
        """Open connections until each waiting call has a pending connection that is not slow.

        For each slow connection, an additional one is thereby opened. Whichever is established first serves
        the call that has waited longest, and the others stay in the pool.
        """
        while sum(not pending.slow for pending in backend.pending_connections) < len(backend.waiting_calls):
            # A connection is additional if each waiting call has a pending one already, some of them slow. An
            # additional connection does not evict an idle one.
            is_additional = len(backend.pending_connections) >= len(backend.waiting_calls)
            if self.total_connections >= self.max_connections and (is_additional or not self._evict_idle()):
                # The outcome is NOT_SENT: the proxy's connection limit is not the backend's fault.
                self._fail_excess_calls(backend, api.Outcome.NOT_SENT)
                return
            self._start_connecting(backend)

    def _start_connecting(self, backend: Backend) -> None:
        """Start to open one connection.

        Each consecutive slow connection to a backend doubles the slow-connect threshold of the next one,
        until one is established in time. Otherwise the proxy would connect again and again to a backend that
        is slow or does not respond.
        """
        self.total_connections += 1
        self.handshakes += 1
        pending = PendingConnection(self.clock.now())
        backend.pending_connections.add(pending)
        slow_threshold_ms = self.connect_times.slow_threshold_ms() * 2.0 ** min(
            backend.consecutive_slow_connects, MAX_SLOW_THRESHOLD_DOUBLINGS)
        if slow_threshold_ms < self.connect_timeout_s * 1000.0:
            pending.slow_timer = self.loop.call_later(
                slow_threshold_ms / 1000.0, self._mark_slow, pending, backend)
        task = self.loop.create_task(self._connect(pending, backend))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def _mark_slow(self, pending: PendingConnection, backend: Backend) -> None:
        pending.slow = True
        self.slow_connect_count += 1
        backend.consecutive_slow_connects += 1
        self._send_waiting_calls(backend)
        self._connect_for_waiting_calls(backend)

    async def _connect(self, pending: PendingConnection, backend: Backend) -> None:
        """Open a connection.

        When this fails, for example for lack of a file descriptor, no byte of a call has been sent.
        """
        connection = Connection(self, backend)
        outcome = api.Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError, ValueError) as error:
            if isinstance(error, TimeoutError):
                outcome = api.Outcome.CONNECT_TIMEOUT
            elif isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS:
                outcome = api.Outcome.NOT_SENT
            if not connection.closed:
                # If the connection was established just as its timeout expired, it may be closed already.
                # Removing it again would subtract it twice from the number of connections.
                connection.remove_from_pool()
        backend.pending_connections.discard(pending)
        if pending.slow_timer is not None:
            pending.slow_timer.cancel()
        if connection.closed or connection.transport.is_closing():
            connection.close(BackendCloseReason.CONNECT_FAILED)
            self._connect_failed(pending, backend, outcome)
            return
        self.established.add(connection)
        self.connect_times.add(self.clock.now() - pending.started_ms)
        if not pending.slow:
            backend.consecutive_slow_connects = 0
        self.release(connection)
        self._send_waiting_calls(backend)

    def _connect_failed(self, pending: PendingConnection, backend: Backend, outcome: api.Outcome) -> None:
        """Handle a connection that could not be established.

        A connect error, other than a timeout or the lack of a local resource, ends one waiting call.
        Otherwise the proxy would connect again and again for this call, if the backend refuses connections
        while another connection to it is still pending and slow.
        """
        if outcome is api.Outcome.CONNECT_FAILED:
            if backend.waiting_calls:
                self._fail_waiting_call(next(iter(backend.waiting_calls)), backend, outcome)
            self._connect_for_waiting_calls(backend)
            return
        self._fail_excess_calls(backend, outcome)
        if outcome is api.Outcome.CONNECT_TIMEOUT:
            self.connect_times.add(self.clock.now() - pending.started_ms)
            self._connect_for_waiting_calls(backend)

    def release(self, connection: Connection) -> None:
        """Make the connection available for other calls, or close it if its backend accepts no calls."""
        if not connection.backend.accepts_calls:
            connection.close(BackendCloseReason.ENDPOINT_UNUSED)
            return
        backend = connection.backend
        backend.idle_connections.append(connection)
        if backend.waiting_calls:
            self._schedule_reuse(backend)

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        self.total_connections -= 1
        self.established.discard(connection)
        if connection in connection.backend.idle_connections:
            connection.backend.idle_connections.remove(connection)

    def limit(self, *, memory_fraction: float) -> None:
        """Limit what incomplete responses may hold, and drop those that exceed the limit."""
        self.response_memory.fraction = memory_fraction
        self.free_response_memory()

    def free_response_memory(self) -> None:
        """Drop incomplete responses until they keep their budget, those that hold the most first."""
        while self.response_memory.exceeded and (
                holding := [c for c in self.established if c.call is not None and c.buffered_bytes]):
            max(holding, key=lambda c: c.buffered_bytes).fail_response()

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle for the longest time, and return whether there was one."""
        candidates = [
            backend.idle_connections[0] for backend in self.backends.values() if backend.idle_connections
        ]
        if not candidates:
            return False
        min(candidates, key=lambda c: c.idle_since_ms).close(BackendCloseReason.EVICTED)
        return True

    def _close_expired_connections(self) -> None:
        """Close the connections that have been idle too long, before their backends close them."""
        now = self.clock.now()
        for backend in self.backends.values():
            min_idle_since_ms = now - min(self.max_idle_ms, backend.max_idle_ms)
            while backend.idle_connections and backend.idle_connections[0].idle_since_ms <= min_idle_since_ms:
                backend.idle_connections[0].close(BackendCloseReason.IDLE)
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._close_expired_connections)
