"""The watch on service discovery: long-polls the endpoint list, and says until when it may be used."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import orjson

from honeywharf import interface as api
from honeywharf.net import http1
from honeywharf.net.clock import Clock
from honeywharf.net.config import Address
from honeywharf.net.discovery_connection import DiscoveryConnection
from honeywharf.net.endpoint_directory import EndpointDirectory, OlderGenerationError
from honeywharf.net.list_expiry import ListExpiry
from honeywharf.net.log import log
from honeywharf.policy.list_freshness import MAX_POLL_GAP_MS, ListFreshness

PATH = "/registry/instances"
CONNECT_TIMEOUT_MS = 1000.0
AGENT_RESPONSE_MS = 250.0  # an agent that pushes lists answers a new poll within milliseconds, if it is up
# Polls that do not wait queue at discovery behind those of all proxies, which takes seconds after a reload.
# Guards against giving up a place in that queue for the last one, over and over: the list then stays as it
# was. A full list takes discovery longer, for itself and for those before it in the queue.
POLL_TIMEOUT_MS = 3500.0
FULL_LIST_TIMEOUT_MS = 5000.0
EMPTY_POLL_PAUSE_S = 0.05  # before the next poll where a response came at once with nothing new
# Of the grace for drains, at most, between the first and the last byte of an answer: it tells what it says as
# soon as it is written, and the rest of the grace is for the calls that are just leaving.
ANSWER_SHARE_OF_GRACE = 0.5
# The first retry comes within a random time between these, the next within twice that.
INITIAL_BACKOFF_S = (0.02, 0.1)
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 6
# Of the grace for drains, at most, where lists are pushed: the rest is for the poll itself.
BACKOFF_SHARE_OF_GRACE = 0.5
# An answer of so many entries, or after so long in discovery's queue, is a line in the log of its own.
LOGGED_ENTRIES = 20
LOGGED_WAIT_MS = 1000.0
OK = 200
SERVICE_UNAVAILABLE = 503


@dataclass(slots=True, eq=False)
class Poll:
    """One call to discovery."""

    number: int  # for the log
    sent_ms: float
    full: bool = False  # it asks for the full list
    # It continues a watch, as far as is known, and waits for changes. Others may queue at discovery before
    # they are answered.
    long: bool = False
    wait_ms: int = 0
    watch_stands: bool = False  # it is sure to continue its watch
    answer_began_ms: float | None = None
    answer_timer: asyncio.TimerHandle | None = None  # until the answer has to be whole


class DiscoveryClient:
    """Polls discovery, one poll at a time on one connection; a new connection whenever one fails."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, address: Address, directory: EndpointDirectory,
        notify: Callable[[api.EndpointsListed | api.ListExpiryChanged], None], *, polled: bool,
        rules: api.Rules,
    ) -> None:
        drain_grace_ms = rules.drain_grace_ms
        self.loop, self.clock, self.address, self.directory = loop, clock, address, directory
        self.notify = notify
        self.polled = polled  # the module asks for each watch, and is notified when one fails
        # Guards against sending past the grace where lists are pushed: what the agent has when it returns
        # counts as told in that moment, whether or not this proxy has polled again yet.
        self.max_backoff_s = MAX_BACKOFF_S if polled else min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S[0], BACKOFF_SHARE_OF_GRACE * drain_grace_ms / 1000.0))
        self.max_answer_s = ANSWER_SHARE_OF_GRACE * drain_grace_ms / 1000.0
        self.watch_requested = False
        self.full_list_requested = False
        self.address_changed = False  # until the new address has answered
        self.initialized = False  # it has been answered, or has timed out
        self.last_answer_ms = float("-inf")  # when the last poll's answer began, if it was answered
        self.freshness = ListFreshness(rules.poll_interval_ms if polled else 0.0)
        self.expiry = ListExpiry(loop, clock, self.freshness, notify, self._expiry_reached)
        # A poll that reached discovery brought no list; and the list of the last run may lack anything.
        self.may_have_missed_changes = True
        self.failures = 0  # in a row
        self.random = random.Random()
        self.connection: DiscoveryConnection | None = None
        self.poll: Poll | None = None  # the one in flight
        self.polls = 0
        self.counts: dict[str, int] = {}  # of polls by what became of them, for the operator
        self.connect_task: asyncio.Task[None] | None = None
        self.poll_timer: asyncio.TimerHandle | None = None  # the poll's timeout, or the pause before the next

    def start(self) -> None:
        """Have nothing sent until discovery has answered: the list of the last run is of unknown age.

        Changes made while the proxy was away count as told by when they were made, not by when it started.
        """
        self._expire("the age of the list of the last run is not known")
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
        self.expiry.move()
        self.address, self.address_changed = address, True
        self.failures, self.may_have_missed_changes = 0, True
        self.last_answer_ms = float("-inf")
        connect_task, self.connect_task = self.connect_task, None
        if connect_task is not None:
            connect_task.cancel()
        self.poll = None
        self._cancel_poll_timer()
        self._close_connection()
        self._poll()

    # Until when the list held may be used.

    def _expiry_reached(self) -> None:
        """Have nothing sent any more, as changes that the list held may lack count as told.

        But an agent that accepts a new poll and does not respond is down and learns nothing: no time passes.
        """
        if self._agent_down():
            self.expiry.confirm_at_end()
        else:
            self._expire("changes that it may lack count as told")

    def _expire(self, why: str) -> None:
        """Have nothing sent until the next list."""
        log(f"discovery: the list is overdue, {why}: {self.summary()}")
        self._count("lists overdue")
        self.expiry.expire()

    def _agent_down(self) -> bool:
        """Whether lists are pushed and the agent leaves a new poll without any response."""
        poll = self.poll
        return not self.polled and poll is not None and not poll.long and poll.answer_began_ms is None and (
            self.clock.now() - poll.sent_ms >= AGENT_RESPONSE_MS)

    # For the operator.

    def summary(self) -> str:
        """How the list held stands, in a few words: its generation, its age, and the poll in flight."""
        age_s = (self.clock.now() - self.freshness.last_known_current_ms) / 1000.0
        age = f"{age_s:.2f} s" if age_s < float("inf") else "unknown"
        poll = f" {self._poll_figures(self.poll)}" if self.poll is not None else ""
        return (f"generation={self.directory.generation} endpoints={len(self.directory.endpoint_ids)} "
                f"age={age} overdue={'yes' if self.expiry.overdue else 'no'}{poll}")

    def _poll_figures(self, poll: Poll) -> str:
        waits = f" of which {poll.wait_ms} ms may wait" if poll.long else ""
        return f"poll {poll.number} for {self.clock.now() - poll.sent_ms:.0f} ms{waits}"

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Sending polls.

    def _poll(self) -> None:
        """Send the next poll, if one is requested and none is in flight; connect first where necessary."""
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
        self.polls += 1
        poll = self.poll = Poll(self.polls, now, full=self.full_list_requested)
        if not poll.full and now <= self.last_answer_ms + MAX_POLL_GAP_MS:
            poll.long, poll.wait_ms = True, self.freshness.wait_ms(now)
            poll.watch_stands = self.freshness.is_watch_active(now)
        self._set_poll_timer(self._poll_timeout_ms(poll) / 1000.0, self._poll_timed_out)
        host = f"{self.address[0]}:{self.address[1]}"
        transport.write(f"GET {self._poll_target(poll)} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def _poll_target(self, poll: Poll) -> str:
        if poll.full:
            return PATH
        return f"{PATH}?after={self.directory.generation}&wait_ms={poll.wait_ms}"

    def _poll_timeout_ms(self, poll: Poll) -> float:
        if poll.long:
            return self.freshness.long_poll_timeout_ms(poll.sent_ms, poll.wait_ms)
        return FULL_LIST_TIMEOUT_MS if poll.full else POLL_TIMEOUT_MS

    async def _connect(self) -> None:
        connection, task = DiscoveryConnection(self), asyncio.current_task()
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
        if isinstance(fault, ConnectionRefusedError) and not self.may_have_missed_changes:
            # It is down, so that nothing counts from before now. Other faults may be the network's, or this
            # proxy's own, and do not show that.
            self.expiry.confirm()
        self._poll_failed(reached=False)

    # The ends of polls.

    def data_received(self, connection: DiscoveryConnection, data: bytes) -> None:
        """Read the response; once it is complete, apply it, notify the module and poll again at once."""
        poll = self.poll
        if poll is None:
            log("discovery: an answer that nobody asked for")
            self._poll_failed()
            return
        if poll.answer_began_ms is None:
            poll.answer_began_ms = self.clock.now()
        try:
            response = connection.reader.feed(data)
            if response is None:
                self._answer_arrives(poll)
                return
            if poll.answer_timer is not None:
                poll.answer_timer.cancel()
            if response.status == SERVICE_UNAVAILABLE and poll.watch_stands:
                self._watch_ended(poll)
                return
            event = self._apply(response, poll)
        except OlderGenerationError as fault:
            log(f"discovery: {self._poll_figures(poll)}: {fault}")
            self._poll_for_full_list()
            return
        except (http1.MalformedMessageError, ValueError) as fault:
            self._count("polls failed")
            log(f"discovery: {self._poll_figures(poll)}: {fault}")
            self._poll_failed()
            return
        self._poll_succeeded(poll, event, keep_alive=response.keep_alive)

    def _answer_arrives(self, poll: Poll) -> None:
        """Part of an answer has come: what the rest says counts as told already."""
        if poll.answer_timer is None:
            poll.answer_timer = self.loop.call_later(self.max_answer_s, self._answer_incomplete, poll)

    def _answer_incomplete(self, poll: Poll) -> None:
        """Have nothing sent until the rest of a slow answer has come, or another one in its place."""
        began_ms = poll.answer_began_ms
        newer = began_ms is not None and self.freshness.last_known_current_ms > began_ms
        if not self.expiry.overdue and not newer:
            self._expire(f"an answer has come in part, on {self._poll_figures(poll)}")

    def _apply(self, response: http1.Response, poll: Poll) -> api.EndpointsListed:
        """Apply the list in a response to the directory; ValueError where there is none."""
        if response.status != OK:
            raise ValueError(f"status {response.status}")
        generation = self.directory.generation
        event = self.directory.apply(orjson.loads(response.body), api.ListKind.FULL if poll.full else None)
        unchanged = (
            event.kind is api.ListKind.CHANGES and not event.endpoints and event.generation == generation)
        self.freshness.record_answer(
            poll.sent_ms, poll.wait_ms, unchanged=unchanged, now_ms=self.clock.now())
        return replace(event, expires_at_ms=self.freshness.expires_ms)

    def _watch_ended(self, poll: Poll) -> None:
        """Discovery ended the watch, which stood until now: what changed before was told first."""
        self._count("watches ended")
        log(f"discovery: {self._poll_figures(poll)}: the watch ended")
        self.expiry.confirm()
        self._poll_failed(reached=False)

    def _poll_for_full_list(self) -> None:
        """Ask for the full list at once: the changes in the response do not follow on the list held."""
        self.poll, self.full_list_requested = None, True
        self._cancel_poll_timer()
        self._close_connection()
        self._poll()

    def _poll_succeeded(self, poll: Poll, event: api.EndpointsListed, *, keep_alive: bool) -> None:
        quick = self.clock.now() - poll.sent_ms < 1000.0 * EMPTY_POLL_PAUSE_S
        first = not self.initialized
        self._count("polls answered")
        self._log_answer(poll, event, first=first)
        self.poll, self.address_changed = None, False
        if poll.full:
            self.full_list_requested = False
        self.initialized = True
        self.last_answer_ms = self.clock.now() if poll.answer_began_ms is None else poll.answer_began_ms
        self.failures = 0
        if not keep_alive:
            self._close_connection()
        self.may_have_missed_changes = False
        self.expiry.list_arrived()
        self.notify(event)
        if self.poll is not None:
            return  # the module asked for it on this list: the timer is its timeout
        if quick and not first and not event.endpoints:
            # Guards against a busy loop on an agent that answers at once.
            self._set_poll_timer(EMPTY_POLL_PAUSE_S, self._poll)
        else:
            self._cancel_poll_timer()
            self._poll()

    def _log_answer(self, poll: Poll, event: api.EndpointsListed, *, first: bool) -> None:
        """A line on the first answer, on one that ends an overdue list, on a large and on a late one."""
        late = not poll.long and self.clock.now() - poll.sent_ms >= LOGGED_WAIT_MS
        if not (first or self.expiry.overdue or late or len(event.endpoints) >= LOGGED_ENTRIES):
            return
        log(f"discovery: {'first answer' if first else 'answer'}, {len(self.directory.endpoint_ids)} "
            f"endpoints: {self._poll_figures(poll)}, {event.summary()}")

    def connection_lost(self) -> None:
        """Forget the connection; the poll in flight on it has failed."""
        self.connection = None
        if self.poll is not None:
            self._count("polls lost")
            log(f"discovery: {self._poll_figures(self.poll)}: connection lost")
            self._poll_failed()

    def _poll_timed_out(self) -> None:
        """Poll again at once. The poll reached discovery, so the first poll is done, on the list held last.

        Guards against a list that stays stale: the new poll does not wait for changes, and comes without the
        backoff, the module's too, that follows on a failed poll.
        """
        self._count("polls timed out")
        if self.poll is not None:
            log(f"discovery: {self._poll_figures(self.poll)}: no whole answer in time")
        self.initialized = self.may_have_missed_changes = True
        self.poll, self.last_answer_ms = None, float("-inf")
        self._close_connection()
        self._poll()

    def _poll_failed(self, *, reached: bool = True) -> None:
        """Retry after a backoff with jitter; where the module asks for watches, notify it instead."""
        self.may_have_missed_changes = self.may_have_missed_changes or reached
        self.poll, self.last_answer_ms = None, float("-inf")
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
