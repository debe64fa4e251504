"""The pace of polls while lists take much time."""

from __future__ import annotations

from honeywharf.policy.poll_pacing import MAX_BURST_MS, MAX_BUSY_FRACTION, MAX_PAUSE_MS, PollPacer


def test_lists_that_come_without_end_take_a_limited_part_of_the_time() -> None:
    """Guards against a discovery whose changes leave no time for requests."""
    pacer, now_ms, work_ms = PollPacer(), 0.0, 20.0
    for _ in range(1000):
        now_ms += work_ms
        now_ms += pacer.pause_ms(now_ms, work_ms)
    assert 1000 * work_ms <= MAX_BURST_MS + 1.1 * MAX_BUSY_FRACTION * now_ms


def test_a_burst_and_seldom_lists_are_not_delayed() -> None:
    pacer = PollPacer()
    assert pacer.pause_ms(0.0, MAX_BURST_MS) == 0.0
    assert 0.0 < pacer.pause_ms(1.0, 1000.0) <= MAX_PAUSE_MS
    assert pacer.pause_ms(10_000.0, MAX_BURST_MS / 2) == 0.0
