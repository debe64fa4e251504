"""The watch on service discovery: long-polls the endpoint list and tracks whether it may be stale."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

import orjson

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.clock import Clock
from honeywharf.net.config import Address
from honeywharf.net.directory import Directory, GenerationWentBackError
from honeywharf.net.log import log
from honeywharf.net.upstream import OWN_FAULTS

PATH = "/registry/instances"
# A change counts as told so long after discovery had it and could be reached, whatever became of the polls;
# after SIGHUP all that the new address has counts, so long after the signal.
STALENESS_MS = 6000.0
STALENESS_AFTER_MOVE_MS = 4000.0
# The wait of one long poll: short, since a cut connection says nothing until it is over, and the next poll
# has to be answered before what was missed counts as told. Renewing a standing watch does not queue at
# discovery.
LONG_POLL_MS = 4000
CONNECT_TIMEOUT_MS = 1000.0
# A long poll without a response so long after its wait has timed out: discovery answers within milliseconds.
LONG_POLL_MARGIN_MS = 500.0
AGENT_RESPONSE_MS = 250.0  # an agent that pushes lists answers a new poll within milliseconds, if it is up
# Polls that do not wait queue at discovery behind those of all proxies, which takes seconds after a reload.
# Guards against giving up a place in that queue for the last one, over and over: the list then stays as it
# was. A full list takes discovery longer, for itself and for those before it in the queue.
POLL_TIMEOUT_MS = 3500.0
FULL_LIST_TIMEOUT_MS = 5000.0
EMPTY_POLL_PAUSE_S = 0.05  # before the next poll where a response came at once with nothing new
# Between a response and a poll that continues its watch: 0.2 s ends the watch, less the way there.
CONTINUATION_GAP_MS = 150.0
# The first retry comes within a random time between these, the next within twice that.
INITIAL_BACKOFF_S = (0.02, 0.1)
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 6
# Of the grace for drains, at most, where lists are pushed: the rest is for the poll itself.
BACKOFF_SHARE_OF_GRACE = 0.5
MAX_LIST_BYTES = 16 * 1024 * 1024
# An answer of so many entries, or after so long in discovery's queue, is a line in the log of its own.
LOGGED_ENTRIES = 20
LOGGED_WAIT_MS = 1000.0
OK = 200
SERVICE_UNAVAILABLE = 503


class WatchConnection(asyncio.Protocol):
    """One connection to discovery. What is received on it counts only while the watch holds it.

    Guards against bytes, or the loss, of an abandoned connection affecting the one that replaced it.
    """

    __slots__ = ("reader", "transport", "watch")

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.reader = http1.ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass the data to the watch, if it still holds this connection."""
        if self.watch.connection is self:
            self.watch.data_received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the watch, if it still holds this connection."""
        if self.watch.connection is self:
            self.watch.connection_lost()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class Watch:
    """Polls discovery, one poll at a time on one connection; a new connection whenever one fails."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, address: Address, directory: Directory,
        notify: Callable[[api.EndpointsListed | api.ListOverdue], None], *, polled: bool,
        drain_grace_ms: float,
    ) -> None:
        self.loop, self.clock, self.address, self.directory = loop, clock, address, directory
        self.notify = notify
        self.polled = polled  # the module asks for each watch, and is notified when one fails
        # Guards against sending past the grace where lists are pushed: what the agent has when it returns
        # counts as told in that moment, whether or not this proxy has polled again yet.
        self.max_backoff_s = MAX_BACKOFF_S if polled else min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S[0], BACKOFF_SHARE_OF_GRACE * drain_grace_ms / 1000.0))
        self.watch_requested = False
        self.full_list_requested = False  # or the poll in flight asks for it
        self.address_changed = False  # until the new address has answered
        self.first_poll_done = False  # it has been answered, or has timed out
        # When the last poll was answered, if it was. A poll soon after continues its watch and may wait; any
        # other may queue at discovery before its wait begins, so how long it may take is not known.
        self.last_response_ms = float("-inf")
        self.long_polling = False  # the present poll waits for changes
        # When it fires, changes that the directory may lack count as told.
        self.staleness_timer: asyncio.TimerHandle | None = None
        self.stale = False  # it has fired, and no list has come since
        # A poll that reached discovery brought no list; and the list of the last run may lack anything.
        self.may_have_missed_changes = True
        self.failures = 0  # in a row
        self.random = random.Random()
        self.connection: WatchConnection | None = None
        self.poll_number = 0  # of the last poll, for the log
        self.poll_sent_ms = 0.0
        self.poll_in_flight = False
        self.fresh_ms = float("-inf")  # when the list held counted as fresh last
        self.counts: dict[str, int] = {}  # of polls by what became of them, for the operator
        self.connect_task: asyncio.Task[None] | None = None
        self.poll_timer: asyncio.TimerHandle | None = None  # the poll's timeout, or the pause before the next

    def start(self) -> None:
        """Have nothing sent until discovery has answered: the list of the last run is of unknown age.

        Changes made while the proxy was away count as told by when they were made, not by when it started.
        """
        self._expire()
        if not self.polled:
            self.watch()

    # Requests of the module and of the process.

    def watch(self) -> None:
        """Subscribe to changes from now on."""
        self.watch_requested = True
        self._poll()

    def fetch(self) -> None:
        """Request the full list once."""
        self.full_list_requested = True
        self._poll()

    def change_address(self, address: Address) -> None:
        """Switch to another address at once, whatever the present poll's state; the list held stays.

        It is the same service, so the changes since the generation held are asked for. Guards against all
        proxies asking for full lists at once, which takes discovery longer than the list held may be used.
        """
        if address == self.address:
            return
        timer = self.staleness_timer
        left_ms = (timer.when() - self.loop.time()) * 1000.0 if timer else 0.0
        self._set_staleness_timer(min(STALENESS_AFTER_MOVE_MS, left_ms))
        self.address, self.address_changed = address, True
        self.failures, self.may_have_missed_changes = 0, True
        self.last_response_ms = float("-inf")
        connect_task, self.connect_task = self.connect_task, None
        if connect_task is not None:
            connect_task.cancel()
        self.poll_in_flight = False
        self._cancel_poll_timer()
        self._close_connection()
        self._poll()

    # Staleness of the list held.

    def _mark_fresh(self) -> None:
        """The list held lacks nothing that discovery has had up to now."""
        self.fresh_ms = self.clock.now()
        self._set_staleness_timer(STALENESS_MS)

    def _set_staleness_timer(self, within_ms: float) -> None:
        """Require a list within that time; after it, changes that the one held may lack count as told."""
        if self.staleness_timer is not None:
            self.staleness_timer.cancel()
        self.staleness_timer = self.loop.call_later(max(0.0, within_ms) / 1000.0, self._staleness_timed_out)

    def _staleness_timed_out(self) -> None:
        """Notify the module that the list held may lack changes that count as told.

        But an agent that accepts a new poll and does not respond is down and learns nothing: no time passes.
        """
        if self._agent_down():
            self._mark_fresh()
            return
        self._expire()

    def _expire(self) -> None:
        """Have nothing sent until the next list."""
        log(f"discovery: changes that the list held may lack count as told: {self.figures()}")
        self._count("lists overdue")
        self.staleness_timer, self.stale = None, True
        self.notify(api.ListOverdue())

    def _agent_down(self) -> bool:
        """Whether lists are pushed and the agent leaves a new poll without a response."""
        return not self.polled and self.poll_in_flight and not self.long_polling and (
            self.clock.now() - self.poll_sent_ms >= AGENT_RESPONSE_MS)

    # For the operator.

    def figures(self) -> str:
        """How the list held stands, in a few words: its generation, its age, and the poll in flight."""
        age_s = (self.clock.now() - self.fresh_ms) / 1000.0
        age = f"{age_s:.2f} s" if age_s < float("inf") else "unknown"
        poll = f" poll={self.poll_number} for {self._poll_age_ms():.0f} ms" if self.poll_in_flight else ""
        return (f"generation={self.directory.generation} endpoints={len(self.directory.endpoint_ids)} "
                f"age={age} overdue={'yes' if self.stale else 'no'}{poll}")

    def _poll_age_ms(self) -> float:
        return self.clock.now() - self.poll_sent_ms

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Sending polls.

    def _poll(self) -> None:
        """Send the next poll, if one is requested and none is in flight; connect first where necessary."""
        if self.poll_in_flight or self.connect_task is not None:
            return
        if not (self.watch_requested or self.full_list_requested or self.address_changed):
            return
        connection = self.connection
        if connection is None or connection.transport is None or connection.transport.is_closing():
            self._cancel_poll_timer()
            self.connect_task = self.loop.create_task(self._connect())
            return
        self._send_poll(connection.transport)

    def _send_poll(self, transport: asyncio.Transport) -> None:
        now = self.clock.now()
        continues = now <= self.last_response_ms + CONTINUATION_GAP_MS
        self.long_polling = continues and not self.full_list_requested
        self.poll_in_flight, self.poll_sent_ms = True, now
        self.poll_number += 1
        self._set_poll_timer(self._poll_timeout_ms() / 1000.0, self._poll_timed_out)
        host = f"{self.address[0]}:{self.address[1]}"
        transport.write(f"GET {self._poll_target()} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def _poll_target(self) -> str:
        if self.full_list_requested:
            return PATH
        wait_ms = LONG_POLL_MS if self.long_polling else 0
        return f"{PATH}?after={self.directory.generation}&wait_ms={wait_ms}"

    def _poll_timeout_ms(self) -> float:
        if self.long_polling:
            return LONG_POLL_MS + LONG_POLL_MARGIN_MS
        return FULL_LIST_TIMEOUT_MS if self.full_list_requested else POLL_TIMEOUT_MS

    async def _connect(self) -> None:
        connection, task = WatchConnection(self), asyncio.current_task()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await self.loop.create_connection(lambda: connection, *self.address)
        except OSError as fault:  # a timeout is one too
            connection.close()
            if self.connect_task is task:
                self._connect_failed(fault)
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        if self.connect_task is not task:  # the address changed in the very turn in which this came up
            connection.close()
            return
        self.connect_task, self.connection = None, connection
        self._poll()

    def _connect_failed(self, fault: OSError) -> None:
        self.connect_task = None
        self._count("polls not connected")
        if fault.errno not in OWN_FAULTS and not self.may_have_missed_changes:
            self._mark_fresh()  # it could not be reached: nothing counts from before now
        self._poll_failed(reached=False)

    # The ends of polls.

    def data_received(self, connection: WatchConnection, data: bytes) -> None:
        """Read the response; once it is complete, apply it, notify the module and poll again at once."""
        try:
            if not self.poll_in_flight:
                raise ValueError("an answer that nobody asked for")
            response = connection.reader.feed(data)
            if response is None:
                return
            if response.status == SERVICE_UNAVAILABLE and self.long_polling:
                self._watch_ended()
                return
            event = self._apply(response)
        except GenerationWentBackError as fault:
            log(f"discovery: poll {self.poll_number}: {fault}")
            self._poll_for_full_list()
            return
        except (http1.MalformedError, ValueError) as fault:
            self._count("polls failed")
            log(f"discovery: poll {self.poll_number} after {self._poll_age_ms():.0f} ms: {fault}")
            self._poll_failed()
            return
        self._poll_succeeded(event, keep_alive=response.keep)

    def _apply(self, response: http1.Response) -> api.EndpointsListed:
        """Apply the list in a response to the directory; ValueError where there is none."""
        if response.status != OK:
            raise ValueError(f"status {response.status}")
        kind = api.ListKind.FULL if self.full_list_requested else None
        return self.directory.apply(orjson.loads(response.body), kind)

    def _watch_ended(self) -> None:
        """Discovery ended the watch, which stood until now: what changed before was told first."""
        self._mark_fresh()
        self._count("watches ended")
        log(f"discovery: poll {self.poll_number}: the watch ended after {self._poll_age_ms():.0f} ms")
        self._poll_failed(reached=False)

    def _poll_for_full_list(self) -> None:
        """Ask for the full list at once: the changes in the response do not follow on the list held."""
        self.poll_in_flight, self.full_list_requested = False, True
        self._cancel_poll_timer()
        self._close_connection()
        self._poll()

    def _poll_succeeded(self, event: api.EndpointsListed, *, keep_alive: bool) -> None:
        quick = self.clock.now() - self.poll_sent_ms < 1000.0 * EMPTY_POLL_PAUSE_S
        first = not self.first_poll_done
        self.poll_in_flight = self.full_list_requested = self.address_changed = False
        self._count("polls answered")
        self._log_answer(event, first=first)
        self.first_poll_done, self.last_response_ms = True, self.clock.now()
        self.failures = 0
        if not keep_alive:
            self._close_connection()
        changed = event.endpoints or event.kind is not api.ListKind.CHANGES
        notify = changed or self.polled or self.stale
        self.stale = self.may_have_missed_changes = False
        self._mark_fresh()
        if notify:
            self.notify(event)
        if self.poll_in_flight:
            return  # the module asked for it on this list: the timer is its timeout
        if quick and not first and not event.endpoints:
            # Guards against a busy loop on an agent that answers at once.
            self._set_poll_timer(EMPTY_POLL_PAUSE_S, self._poll)
        else:
            self._cancel_poll_timer()
            self._poll()

    def _log_answer(self, event: api.EndpointsListed, *, first: bool) -> None:
        """A line on the first answer, on one that ends an overdue list, on a large and on a late one."""
        late = not self.long_polling and self._poll_age_ms() >= LOGGED_WAIT_MS
        if not (first or self.stale or late or len(event.endpoints) >= LOGGED_ENTRIES):
            return
        log(f"discovery: {'first answer' if first else 'answer'}, {len(self.directory.endpoint_ids)} "
            f"endpoints: poll {self.poll_number} after {self._poll_age_ms():.0f} ms, {event.figures()}")

    def connection_lost(self) -> None:
        """Forget the connection; the poll in flight on it has failed."""
        self.connection = None
        if self.poll_in_flight:
            self._count("polls lost")
            log(f"discovery: poll {self.poll_number}: connection lost after {self._poll_age_ms():.0f} ms")
            self._poll_failed()

    def _poll_timed_out(self) -> None:
        """Poll again at once. The poll reached discovery, so the first poll is done, on the list held last.

        Guards against a list that stays stale: the new poll does not wait for changes, and comes without the
        backoff, the module's too, that follows on a failed poll.
        """
        self._count("polls timed out")
        log(f"discovery: poll {self.poll_number}: silent for {self._poll_age_ms():.0f} ms")
        self.first_poll_done = self.may_have_missed_changes = True
        self.poll_in_flight, self.last_response_ms = False, float("-inf")
        self._close_connection()
        self._poll()

    def _poll_failed(self, *, reached: bool = True) -> None:
        """Retry after a backoff with jitter; where the module asks for watches, notify it instead."""
        self.may_have_missed_changes = self.may_have_missed_changes or reached
        self.poll_in_flight, self.last_response_ms = False, float("-inf")
        self._cancel_poll_timer()
        self._close_connection()
        if self.polled:
            self.watch_requested = self.full_list_requested = False
            self.notify(api.EndpointsListed(api.ListKind.FAILED))
            return
        self._set_poll_timer(self._next_backoff_s(), self._poll)

    def _next_backoff_s(self) -> float:
        """Count a failure and return the random pause that follows on it."""
        factor = 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        shortest, longest = (min(self.max_backoff_s, pause * factor) for pause in INITIAL_BACKOFF_S)
        self.failures += 1
        return self.random.uniform(shortest, longest)

    def _close_connection(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _set_poll_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_poll_timer()
        self.poll_timer = self.loop.call_later(delay_s, callback)

    def _cancel_poll_timer(self) -> None:
        if self.poll_timer is not None:
            self.poll_timer.cancel()
            self.poll_timer = None
