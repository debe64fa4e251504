"""The command line of the soak."""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

from soak.play import Result, play
from soak.scenario import KINDS_BY_NAME, draw
from soak.shim import CompilerError, build_library

OK, BROKEN, NOT_RUN = 0, 1, 2
SEED_TIMEOUT_S = 90.0
MAX_EXAMPLES = 3
#: The options that take the place of what the seed draws for the scenario.
OVERRIDES = ("memory_mb", "descriptors", "tier")


class SeedError(Exception):
    """A seed could not be played."""


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds are played")
    parser.add_argument("--jobs", type=int, default=2, help="how many seeds are played at a time")
    parser.add_argument("--seconds", type=float, default=8.0, help="how long the troubles of a seed last")
    parser.add_argument(
        "--kinds", default="", help="play these kinds of trouble, separated by commas, not drawn ones")
    parser.add_argument("--tier", type=int, help="the tier of the proxy, 0 or 1, in place of a drawn one")
    parser.add_argument("--memory-mb", type=int, help="the memory limit, in place of a drawn one")
    parser.add_argument("--descriptors", type=int, help="the limit of descriptors, in place of a drawn one")
    parser.add_argument("--out", type=Path, help="write all results to this file, as JSON")
    parser.add_argument("--json", action="store_true", help="play one seed, and print its result as JSON")
    parser.add_argument("--list", action="store_true", help="list the kinds of trouble")
    parsed = parser.parse_args(arguments)
    parsed.kinds = tuple(name for name in parsed.kinds.split(",") if name)
    unknown = [name for name in parsed.kinds if name not in KINDS_BY_NAME]
    if unknown or min(parsed.seeds, parsed.jobs, parsed.seconds) <= 0:
        parser.error(f"unknown kinds: {', '.join(unknown)}" if unknown else "counts must be positive")
    return parsed


def describe(result: dict[str, Any]) -> str:
    """Describe a result in one line, with some examples for each broken rule."""
    verdict = "invalid" if not result["valid"] else "BROKEN" if result["broken"] else "ok"
    lines = [
        f"seed {result['seed']} {verdict}: {','.join(result['troubles'])} peak {result['peak_mb']} of "
        f"{result['memory_mb']} MB, {result['requests']} requests {result['ends']} {result['statuses']}, "
        f"{result['late']} late, slowest {result['slowest_s']} s, lag {result['lag_s']} s"]
    for rule, examples in result["broken"].items():
        lines += [f"  {rule}: {len(examples)}", *(f"    {example}" for example in examples[:MAX_EXAMPLES])]
    return "\n".join(lines)


def play_here(options: argparse.Namespace) -> int:
    """Play one seed in this process, and print its result as JSON."""
    scenario = draw(options.seed, options.kinds, options.seconds)
    given = {name: getattr(options, name) for name in OVERRIDES if getattr(options, name) is not None}
    scenario = replace(scenario, **given)
    result: Result = asyncio.run(play(scenario))
    print(json.dumps({**asdict(result), "valid": result.is_valid}))
    return BROKEN if result.broken else OK


def play_seed(seed: int, options: argparse.Namespace) -> dict[str, Any]:
    """Play a seed in a process of its own, and print its result."""
    command = [
        sys.executable, "-m", "soak", "--json", "--seed", str(seed), "--seconds", str(options.seconds),
        "--kinds", ",".join(options.kinds)]
    for name in OVERRIDES:
        if getattr(options, name) is not None:
            command += [f"--{name.replace('_', '-')}", str(getattr(options, name))]
    played = subprocess.run(
        command, capture_output=True, text=True, check=False, timeout=SEED_TIMEOUT_S + options.seconds)
    if played.returncode not in (OK, BROKEN):
        raise SeedError(f"seed {seed}: {played.stderr[-2000:]}")
    result: dict[str, Any] = json.loads(played.stdout.splitlines()[-1])
    print(describe(result), flush=True)
    return result


def main() -> int:
    """Play the seeds, and return 1 if a rule was broken, 2 if a seed could not be played or judged."""
    options = parse_arguments()
    if options.list:
        print("\n".join(f"{kind.name}: {kind.party.value}" for kind in KINDS_BY_NAME.values()))
        return OK
    if options.json:
        return play_here(options)
    try:
        build_library()
        with ThreadPoolExecutor(options.jobs) as executor:
            seeds = range(options.seed, options.seed + options.seeds)
            results = list(executor.map(lambda seed: play_seed(seed, options), seeds))
    except (CompilerError, SeedError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return NOT_RUN
    broken = [r for r in results if r["valid"] and r["broken"]]
    invalid = [r for r in results if not r["valid"]]
    print(f"{len(results)} seeds played: {len(broken)} broke a rule {[r['seed'] for r in broken]}, "
          f"{len(invalid)} say nothing, as the stand-ins ran late {[r['seed'] for r in invalid]}")
    if options.out:
        options.out.write_text(json.dumps(results, indent=1))
    return BROKEN if broken else NOT_RUN if invalid else OK


if __name__ == "__main__":
    sys.exit(main())
