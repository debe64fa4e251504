"""Short plays of the soak, of fixed seeds: a real proxy process between stand-ins, under faults."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from soak.play import Result, play
from soak.scenario import Scenario, draw

SECONDS = 2.0
LEAST_MEMORY_MB, MAX_DESCRIPTORS = 32, 1024


def least_memory(seed: int, *kinds: str, seconds: float = SECONDS) -> Scenario:
    """Draw a scenario of some kinds, with the least memory that a deployment may give."""
    return replace(draw(seed, kinds, seconds), memory_mb=LEAST_MEMORY_MB, descriptors=MAX_DESCRIPTORS)


def broken_rules(*scenarios: Scenario) -> dict[str, dict[str, list[str]]]:
    """Play scenarios side by side, and return the broken rules of each, by its kinds of trouble."""
    async def main() -> list[Result]:
        return list(await asyncio.gather(*(play(scenario) for scenario in scenarios)))

    results = asyncio.run(main())
    assert all(result.is_valid for result in results), "the stand-ins ran late, so the play says nothing"
    return {",".join(result.troubles): result.broken for result in results if result.broken}


def test_a_full_closed_or_stalled_log_neither_ends_nor_stalls_the_process() -> None:
    assert broken_rules(
        least_memory(101, "full_log"), least_memory(102, "closed_log"),
        least_memory(103, "stalled_log")) == {}


def test_no_list_of_discovery_takes_the_process_over_its_memory_limit() -> None:
    assert broken_rules(
        least_memory(111, "endless_list"), least_memory(112, "long_list"),
        least_memory(113, "many_changes")) == {}


def test_lists_responses_and_clients_together_keep_the_memory_limit() -> None:
    """Guards against parties that each keep a budget of their own, and together take more than there is."""
    assert broken_rules(
        least_memory(211, "long_list", "small_chunks", seconds=4.0),
        least_memory(212, "many_changes", "half_body", "endless", seconds=4.0),
        least_memory(213, "long_list", "slow_writers", "long_responses", seconds=4.0)) == {}


@pytest.mark.parametrize("first_seed", [5001, 5004, 5007])
def test_drawn_faults_break_no_rule(first_seed: int) -> None:
    seeds = range(first_seed, first_seed + 3)
    assert broken_rules(*(draw(seed, duration_s=3.0) for seed in seeds)) == {}


def test_a_process_that_starts_again_and_again_under_a_crowd_keeps_its_memory_limit() -> None:
    """Guards against a start in which all clients of the life before come back at once."""
    assert broken_rules(
        least_memory(221, "kill_series", "half_body", seconds=4.0),
        least_memory(222, "kill_series", "small_chunks", "full_log", seconds=4.0)) == {}
