"""The arrival times of input that is held before it is parsed."""

from __future__ import annotations

from honeywharf.net.arrival_times import RESOLUTION_MS, ArrivalTimes


def test_each_part_of_the_input_keeps_its_arrival_time() -> None:
    times = ArrivalTimes()
    times.add(100, 1000.0)
    times.add(50, 2000.0)
    times.add(50, 3000.0)
    assert times.take(150) == 1000.0  # the first 50 bytes
    assert times.take(100) == 1000.0
    assert times.take(99) == 2000.0
    assert times.take(0) == 3000.0
    times.add(1, 4000.0)
    assert times.take(0) == 4000.0


def test_few_times_are_kept_for_input_that_arrives_in_many_parts() -> None:
    """The times are never later than the true ones, so no request is taken to have more time left."""
    times = ArrivalTimes()
    for number in range(10_000):
        times.add(1, number * 0.1)
    assert len(times._arrivals) <= 10_000 * 0.1 / RESOLUTION_MS + 1
    for number in range(10_000):
        assert number * 0.1 - RESOLUTION_MS <= times.take(10_000 - number - 1) <= number * 0.1
