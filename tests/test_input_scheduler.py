"""The turns in which connections parse their input, on a simulated clock and event loop."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.net.clock import Clock, Timer
from honeywharf.net.input_scheduler import MAX_TURN_MS, InputScheduler


class SimulatedClock(Clock):
    """A clock that moves only when it is set."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def now(self) -> float:
        return self.now_ms


class SimulatedLoop:
    """An event loop that runs the callbacks that wait when it is told to."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[], object]] = []

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        self.callbacks.append(lambda: callback(*args))
        return None

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        raise NotImplementedError

    def run_iteration(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class Connection:
    """A connection whose input takes a number of turns of `cost_ms` each to parse.

    The input is one long message, or a number of short ones.
    """

    def __init__(
        self, scheduler: InputScheduler, clock: SimulatedClock, cost_ms: float, turns: int, *,
        is_long: bool = False,
    ) -> None:
        self.scheduler, self.clock, self.cost_ms, self.turns_left = scheduler, clock, cost_ms, turns
        self.is_long, self.turns = is_long, 0

    def process_input(self) -> None:
        self.clock.now_ms += self.cost_ms
        self.turns += 1
        self.turns_left -= 1
        if self.turns_left:
            self.scheduler.enqueue(self)

    def in_long_message(self) -> bool:
        return self.is_long and self.turns > 0


def make_scheduler() -> tuple[InputScheduler, SimulatedClock, SimulatedLoop]:
    clock, loop = SimulatedClock(), SimulatedLoop()
    return InputScheduler(loop, clock), clock, loop


def test_the_input_of_many_connections_takes_a_limited_part_of_each_iteration() -> None:
    """Guards against an event loop that does nothing but parse while many clients send much at once."""
    scheduler, clock, loop = make_scheduler()
    cost_ms = MAX_TURN_MS / 8
    connections = [Connection(scheduler, clock, cost_ms, turns=50, is_long=True) for _ in range(300)]
    for connection in connections:
        if scheduler.may_process_now(connection):
            scheduler.process(connection)
        else:
            scheduler.enqueue(connection)
    assert clock.now_ms == MAX_TURN_MS
    iterations = 0
    while loop.callbacks:
        started_ms, iterations = clock.now_ms, iterations + 1
        loop.run_iteration()
        assert clock.now_ms - started_ms <= MAX_TURN_MS + cost_ms
    assert all(connection.turns_left == 0 for connection in connections)
    # All of the time was used.
    assert iterations <= 300 * 50 / 8 + 1


def test_a_short_message_does_not_wait_for_the_long_ones_and_these_make_progress() -> None:
    scheduler, clock, loop = make_scheduler()
    cost_ms = MAX_TURN_MS / 4
    long = [Connection(scheduler, clock, cost_ms, turns=1000, is_long=True) for _ in range(100)]
    for connection in long:
        connection.turns = 1
        scheduler.enqueue(connection)
    assert scheduler.may_process_now(Connection(scheduler, clock, cost_ms, turns=1))
    assert not scheduler.may_process_now(long[0])
    loop.run_iteration()
    for _ in range(50):
        short = [Connection(scheduler, clock, cost_ms, turns=1) for _ in range(8)]
        for connection in short:
            scheduler.enqueue(connection)
        progress = sum(connection.turns for connection in long)
        loop.run_iteration()  # four of the short ones, and one of the long ones
        assert sum(connection.turns for connection in short) == 4
        assert sum(connection.turns for connection in long) == progress + 1
        loop.run_iteration()
        assert all(connection.turns == 1 for connection in short)


def test_a_connection_that_has_more_input_waits_for_the_next_iteration() -> None:
    """Guards against one client whose requests, each of which is answered at once, fill the whole turn."""
    scheduler, clock, loop = make_scheduler()
    connection = Connection(scheduler, clock, 0.0, turns=100)
    scheduler.process(connection)
    for turns in range(1, 101):
        assert connection.turns == turns
        loop.run_iteration()
