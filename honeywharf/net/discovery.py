"""The client of service discovery: it long-polls the endpoint list and tracks when the list expires.

A poll is one HTTP request to discovery. A long poll waits at discovery until there is a change, at most for
`wait_ms`. Short polls, and polls for the full list, do not wait for changes, but may queue at discovery. A
watch is the chain of long polls that discovery keeps open: it continues with each long poll that is sent soon
enough after the last response.

A fixed time after a change, at the propagation deadline of the change, the proxy has to obey the change,
whether or not a response with it has arrived. A list that may lack such a change has expired, and nothing is
sent on it. See `honeywharf.policy.list_freshness`.

The client polls in two ways. With polled discovery, the balancer requests each watch, is notified when a poll
fails, and decides when to poll again. Where lists are pushed, they are pushed to a discovery agent, which
responds to the polls; the client starts to poll, and retries after a failure, by itself.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.backoff import INITIAL_RANGE_S, Backoff
from honeywharf.net.clock import Clock
from honeywharf.net.config import Address
from honeywharf.net.discovery_connection import DiscoveryConnection
from honeywharf.net.endpoint_directory import EndpointDirectory, OlderGenerationError, make_endpoint_list
from honeywharf.net.input_scheduler import MAX_DISCOVERY_TURN_MS, InputScheduler
from honeywharf.net.list_expiry import ListExpiry
from honeywharf.net.list_response_reader import ListResponseReader
from honeywharf.net.log import log
from honeywharf.net.memory_budget import MIN_MAX_ENDPOINTS
from honeywharf.net.poll import Poll
from honeywharf.policy.list_freshness import MAX_POLL_GAP_MS, ListFreshness
from honeywharf.policy.overload import MemoryPressure
from honeywharf.policy.poll_pacing import PollPacer

CONNECT_TIMEOUT_MS = 1000.0
# A discovery agent counts as down if it does not respond for this long to a poll that does not wait for
# changes. An agent that is up starts its response within milliseconds.
AGENT_RESPONSE_TIMEOUT_MS = 250.0
# A short poll, which does not wait for changes, queues at discovery behind those of all other proxies. When
# all proxies have just reloaded their configuration, this takes seconds. With a shorter timeout, a proxy
# would go back to the end of the queue again and again, and its list would stay stale.
SHORT_POLL_TIMEOUT_MS = 3500.0
# Discovery takes longer for full lists, both for the proxy's own and for those that are queued before it.
FULL_LIST_TIMEOUT_MS = 5000.0
# The pause before the next poll after a response that came at once and had no changes.
EMPTY_RESPONSE_PAUSE_S = 0.05
# The longest time between the first and the last byte of a response, as a fraction of the drain grace period.
# The propagation deadline of the changes in a response comes when discovery writes the response, and not when
# the proxy has read all of it. The rest of the grace period is left for calls that are being sent.
MAX_RESPONSE_FRACTION_OF_DRAIN_GRACE = 0.5
# The longest backoff after a failed poll.
MAX_BACKOFF_S = 1.0
# The longest backoff where lists are pushed, as a fraction of the drain grace period. The rest of the grace
# period is left for the poll itself.
MAX_BACKOFF_FRACTION_OF_DRAIN_GRACE = 0.5
# A response is logged if it has this many entries, or if a poll other than a long poll took this long.
MIN_LOGGED_ENTRIES = 20
MIN_LOGGED_RESPONSE_TIME_MS = 1000.0


class ListTooLongError(ValueError):
    """A list has more entries than the process has memory for."""


class DiscoveryClient:
    """Polls discovery, with one poll at a time on one connection, and reconnects after each failure.

    `balancer_requests_watches`: the balancer requests each watch and is notified when a poll fails. Otherwise
    lists are pushed.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, address: Address, directory: EndpointDirectory,
        notify: Callable[[api.EndpointsListed | api.ListExpiryChanged], None], *,
        balancer_requests_watches: bool, rules: api.Rules,
    ) -> None:
        drain_grace_ms = rules.drain_grace_ms
        self.loop, self.clock, self.address, self.directory = loop, clock, address, directory
        self.notify = notify
        self.input_scheduler = InputScheduler(loop, clock, MAX_DISCOVERY_TURN_MS)
        # Measures the process, and makes others release memory if it is scarce.
        self.check_memory: Callable[[], MemoryPressure] = lambda: MemoryPressure.NONE
        self.balancer_requests_watches = balancer_requests_watches
        # Where lists are pushed and the agent was down, the propagation deadline of all changes that the
        # agent has comes as soon as the agent returns, whether or not the proxy has polled again. With a
        # longer backoff, the proxy would send requests to draining servers after the grace period.
        self.backoff = Backoff(MAX_BACKOFF_S if balancer_requests_watches else min(
            MAX_BACKOFF_S,
            max(INITIAL_RANGE_S[0], MAX_BACKOFF_FRACTION_OF_DRAIN_GRACE * drain_grace_ms / 1000.0)))
        self.max_response_duration_s = MAX_RESPONSE_FRACTION_OF_DRAIN_GRACE * drain_grace_ms / 1000.0
        self.watch_requested = False
        self.full_list_requested = False
        self.address_changed = False  # true until discovery has responded at the new address
        self.initialized = False  # true once a poll has succeeded or timed out
        self.last_response_started_ms = float("-inf")  # -inf if the last poll failed or timed out
        self.freshness = ListFreshness(rules.poll_interval_ms if balancer_requests_watches else 0.0)
        self.expiry = ListExpiry(loop, clock, self.freshness, notify, self._on_expiry_due)
        # Whether discovery may have changes that the current list lacks: a poll may have reached discovery
        # but brought no list, or the list is still that of the last run.
        self.may_have_missed_changes = True
        self.pacer = PollPacer()
        self.connection: DiscoveryConnection | None = None
        self.poll: Poll | None = None  # the poll in flight
        self.poll_count = 0
        self.counts: Counter[str] = Counter()  # event counters for the `stats` line of the log
        self.connect_task: asyncio.Task[None] | None = None
        # The timeout of the poll in flight, or the pause before the next poll.
        self.poll_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Expire the list of the last run, whose age is unknown; where lists are pushed, start to poll.

        The propagation deadline of a change depends on when the change was made, and not on when the proxy
        started, so the deadline of a change made while the proxy was down may have passed. Nothing is sent
        until discovery has responded.
        """
        self._expire("its age is unknown after a restart")
        if not self.balancer_requests_watches:
            self.watch()

    # Requests of the balancer and of the process.

    def watch(self) -> None:
        """Poll for changes from now on; with polled discovery, until a poll fails."""
        self.watch_requested = True
        self._start_next_poll()

    def fetch(self) -> None:
        """Request the full list with the next poll."""
        self.full_list_requested = True
        self._start_next_poll()

    def change_address(self, address: Address) -> None:
        """Switch to another address at once and abandon the poll in flight; the current list stays.

        The service is the same, so the proxy requests the changes since the current generation. If all
        proxies requested full lists at once, sending them would take discovery longer than the time until
        the current lists expire.
        """
        if address == self.address:
            return
        self.expiry.expire_sooner()
        self.address, self.address_changed = address, True
        self.backoff.reset()
        self.may_have_missed_changes = True
        self.last_response_started_ms = float("-inf")
        connect_task, self.connect_task = self.connect_task, None
        if connect_task is not None:
            connect_task.cancel()
        self.poll = None
        self._cancel_poll_timer()
        self._close_connection()
        self._start_next_poll()

    # The expiry of the current list.

    def _on_expiry_due(self) -> None:
        """Expire the list: the propagation deadline of changes that it may lack has come.

        If the agent is down, keep the list as current instead: the agent learns of no changes meanwhile.
        """
        if self._is_agent_down():
            self.expiry.confirm_current_at_expiry()
        else:
            self._expire("it was not confirmed as current in time")

    def _expire(self, reason: str) -> None:
        """Log and count the expiry, and let the balancer send nothing until the next list arrives."""
        log(f"discovery: the endpoint list has expired because {reason}: {self.list_summary()}")
        self.counts["lists overdue"] += 1
        self.expiry.expire()

    def _is_agent_down(self) -> bool:
        """Return whether lists are pushed, and the agent has not responded in time.

        This shows only on a poll that does not wait for changes. An agent that is down can accept connections
        and polls, but learns of no changes.
        """
        poll = self.poll
        return (
            not self.balancer_requests_watches and poll is not None and not poll.is_long
            and poll.response_started_ms is None and (
                self.clock.now() - poll.sent_ms >= AGENT_RESPONSE_TIMEOUT_MS))

    # Log lines and counters.

    def list_summary(self) -> str:
        """Describe the current list and the poll in flight for the log. An overdue list has expired."""
        age_s = (self.clock.now() - self.freshness.last_known_up_to_date_ms) / 1000.0
        age = f"{age_s:.2f} s" if age_s < float("inf") else "unknown"
        poll = f" {self.poll.describe(self.clock.now())}" if self.poll is not None else ""
        return (f"generation={self.directory.generation} endpoints={len(self.directory.entries)} "
                f"age={age} overdue={'yes' if self.expiry.expired else 'no'}{poll}")

    # Sending polls.

    def _start_next_poll(self) -> None:
        """Send the next poll if one is requested and none is in flight; connect first if necessary."""
        if self.poll is not None or self.connect_task is not None:
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
        self.poll_count += 1
        poll = self.poll = Poll(self.poll_count, now, is_full=self.full_list_requested)
        if not poll.is_full and now <= self.last_response_started_ms + MAX_POLL_GAP_MS:
            poll.is_long, poll.wait_ms = True, self.freshness.wait_ms(now)
        self._set_poll_timer(self._poll_timeout_ms(poll) / 1000.0, self._poll_timed_out)
        target, host = poll.target(self.directory.generation), f"{self.address[0]}:{self.address[1]}"
        transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def _poll_timeout_ms(self, poll: Poll) -> float:
        if poll.is_long:
            return self.freshness.long_poll_timeout_ms(poll.sent_ms, poll.wait_ms)
        return FULL_LIST_TIMEOUT_MS if poll.is_full else SHORT_POLL_TIMEOUT_MS

    async def _connect(self) -> None:
        connection, task = DiscoveryConnection(self), asyncio.current_task()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await self.loop.create_connection(lambda: connection, *self.address)
        except OSError as error:  # TimeoutError is a subclass.
            connection.close()
            if self.connect_task is task:
                self._connect_failed(error)
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        if self.connect_task is not task:
            # The address changed in the same iteration of the event loop that established the connection.
            connection.close()
            return
        self.connect_task, self.connection = None, connection
        self._start_next_poll()

    def _connect_failed(self, error: OSError) -> None:
        self.connect_task = None
        self.counts["polls not connected"] += 1
        if isinstance(error, ConnectionRefusedError) and not self.may_have_missed_changes:
            # Discovery is down and learns of no changes, so the list is current. Other errors do not prove
            # that, because their cause may be in the network or in this proxy.
            self.expiry.confirm_current()
        self._poll_failed(poll_may_have_missed_changes=False)

    # Responses and failures.

    def data_received(self, connection: DiscoveryConnection, data: bytes) -> None:
        """Read the response, and process it once it is complete."""
        poll = self.poll
        if poll is None:
            log("discovery: received data while no poll is in flight")
            self._poll_failed()
            return
        started_ms = self.clock.now()
        if poll.response_started_ms is None:
            poll.response_started_ms = started_ms
        try:
            response = connection.reader.feed(data)
        except (http1.MalformedMessageError, ValueError) as error:
            self._response_invalid(poll, error)
            return
        poll.work_ms += self.clock.now() - started_ms
        parser = connection.reader.list_parser
        if self.check_memory() is MemoryPressure.EXHAUSTED and parser is not None and (
                len(parser.entries) > MIN_MAX_ENDPOINTS):
            self._response_invalid(poll, ListTooLongError("the list takes more memory than there is"))
        elif response is None:
            self._start_response_timer(poll)
        else:
            self._process_response(poll, response, connection.reader)

    def eof_received(self, connection: DiscoveryConnection) -> None:
        """Process a response without a length, which the end of the connection completes."""
        poll = self.poll
        try:
            response = connection.reader.end_of_input()
        except ValueError as error:
            if poll is not None:
                self._response_invalid(poll, error)
            return
        if response is not None and poll is not None:
            self._process_response(poll, response, connection.reader)

    def _process_response(self, poll: Poll, response: http1.Response, reader: ListResponseReader) -> None:
        """Apply the list in a response, notify the balancer and send the next poll."""
        if poll.response_timer is not None:
            poll.response_timer.cancel()
        started_ms = self.clock.now()
        try:
            event = self._apply(response, reader, poll)
        except OlderGenerationError as error:
            log(f"discovery: {poll.describe(self.clock.now())}: {error}")
            self._poll_for_full_list()
            return
        except ValueError as error:
            self._response_invalid(poll, error)
            return
        poll.work_ms += self.clock.now() - started_ms
        self._poll_succeeded(poll, event, keep_alive=response.keep_alive)

    def _response_invalid(self, poll: Poll, error: Exception) -> None:
        """Handle a response that cannot be read, or that contains no valid list."""
        self.counts["polls failed"] += 1
        log(f"discovery: {poll.describe(self.clock.now())}: {error}")
        self._poll_failed()

    def _start_response_timer(self, poll: Poll) -> None:
        """Limit the time for the rest of a response: the propagation deadline of its changes has come."""
        if poll.response_timer is None:
            poll.response_timer = self.loop.call_later(
                self.max_response_duration_s, self._response_timed_out, poll)

    def _response_timed_out(self, poll: Poll) -> None:
        """Expire the list until the rest of a slow response, or another response instead, has arrived."""
        started_ms = poll.response_started_ms
        superseded = started_ms is not None and self.freshness.last_known_up_to_date_ms > started_ms
        if not self.expiry.expired and not superseded:
            self._expire(f"only part of a response has arrived ({poll.describe(self.clock.now())})")

    def _apply(
        self, response: http1.Response, reader: ListResponseReader, poll: Poll,
    ) -> api.EndpointsListed:
        """Apply the list in a response to the directory; raise ValueError if the response has none.

        A response with another status proves nothing about the list, also if the poll continued a watch: the
        poll may have waited in discovery's queue until it failed, while discovery had changes.
        """
        if response.status != http1.OK:
            raise ValueError(f"unexpected status {response.status}")
        generation = self.directory.generation
        parser = reader.list_parser
        if parser is None:
            raise ValueError("the response is empty")
        parser.finish()
        event = self.directory.apply(
            make_endpoint_list(parser.members, parser.entries), api.ListKind.FULL if poll.is_full else None)
        reader.list_parser = None
        unchanged = (
            event.kind is api.ListKind.CHANGES and not event.endpoints and event.generation == generation)
        previous_list_current_ms = self.freshness.last_known_up_to_date_ms
        self.freshness.record_response(
            poll.sent_ms, poll.wait_ms, unchanged=unchanged, now_ms=self.clock.now())
        return replace(
            event, expires_at_ms=self.freshness.expires_ms, previous_list_current_ms=previous_list_current_ms)

    def _poll_for_full_list(self) -> None:
        """Poll for the full list at once, because the changes received do not apply to the current list."""
        self.poll, self.full_list_requested = None, True
        self._cancel_poll_timer()
        self._close_connection()
        self._start_next_poll()

    def _poll_succeeded(self, poll: Poll, event: api.EndpointsListed, *, keep_alive: bool) -> None:
        responded_at_once = self.clock.now() - poll.sent_ms < 1000.0 * EMPTY_RESPONSE_PAUSE_S
        is_first = not self.initialized
        self.counts["polls answered"] += 1
        self._log_response(poll, event, is_first=is_first)
        self.poll, self.address_changed = None, False
        if poll.is_full:
            self.full_list_requested = False
        self.initialized = True
        self.last_response_started_ms = (
            self.clock.now() if poll.response_started_ms is None else poll.response_started_ms)
        self.backoff.reset()
        if not keep_alive:
            self._close_connection()
        self.may_have_missed_changes = False
        self.expiry.on_list_received()
        notified_ms = self.clock.now()
        self.notify(event)
        now_ms = self.clock.now()
        pause_s = self.pacer.pause_ms(now_ms, poll.work_ms + now_ms - notified_ms) / 1000.0
        if self.poll is not None:
            return  # The balancer requested a poll on this list. The timer is already that poll's timeout.
        if responded_at_once and not is_first and not event.endpoints:
            # Prevents a busy loop with an agent that does not wait for changes.
            pause_s = max(pause_s, EMPTY_RESPONSE_PAUSE_S)
        self._cancel_poll_timer()
        if pause_s > 0.0:
            self._set_poll_timer(pause_s, self._start_next_poll)
        else:
            self._start_next_poll()

    def _log_response(self, poll: Poll, event: api.EndpointsListed, *, is_first: bool) -> None:
        """Log the first response, one that replaces an expired list, a large one and a late one."""
        is_late = not poll.is_long and self.clock.now() - poll.sent_ms >= MIN_LOGGED_RESPONSE_TIME_MS
        if not (is_first or self.expiry.expired or is_late or len(event.endpoints) >= MIN_LOGGED_ENTRIES):
            return
        log(f"discovery: {'first response' if is_first else 'response'}, {len(self.directory.entries)} "
            f"endpoints listed: {poll.describe(self.clock.now())}, {event.summary()}")

    def connection_lost(self) -> None:
        """Forget the connection, and handle the poll in flight on it as failed."""
        self.connection = None
        if self.poll is not None:
            self.counts["polls lost"] += 1
            log(f"discovery: {self.poll.describe(self.clock.now())}: connection lost")
            self._poll_failed()

    def _poll_timed_out(self) -> None:
        """Poll again at once, and let the proxy become ready even if it has no current list.

        The new poll does not wait for changes, and skips the backoff that the client or the balancer adds
        after a failed poll. Otherwise the list could expire before a new response arrives.
        """
        self.counts["polls timed out"] += 1
        if self.poll is not None:
            log(f"discovery: {self.poll.describe(self.clock.now())}: timed out without a complete response")
        self.initialized = self.may_have_missed_changes = True
        self.poll, self.last_response_started_ms = None, float("-inf")
        self._close_connection()
        self._start_next_poll()

    def _poll_failed(self, *, poll_may_have_missed_changes: bool = True) -> None:
        """Retry after a backoff with jitter; with polled discovery, notify the balancer instead.

        `poll_may_have_missed_changes`: discovery may have had changes at the time of this poll that the
        current list lacks.
        """
        self.may_have_missed_changes = self.may_have_missed_changes or poll_may_have_missed_changes
        self.poll, self.last_response_started_ms = None, float("-inf")
        self._cancel_poll_timer()
        self._close_connection()
        if self.balancer_requests_watches:
            self.watch_requested = self.full_list_requested = False
            self.notify(api.EndpointsListed(api.ListKind.FAILED))
            return
        self._set_poll_timer(self.backoff.next_delay_s(), self._start_next_poll)

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
