"""Tests that decisions are deterministic and independent of names, and that the state stays bounded.

The files of the balancer must also stay within size limits, and must not contain names of deployments.
"""

from __future__ import annotations

import os
import random
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf import interface as api
from honeywharf.balancer import Balancer
from tests.balancer_harness import make_settings

ROOT = Path(__file__).parent.parent


def run_events(rename: dict[str, str], seed: int = 3, servers: int = 12) -> list[str]:
    """Run a fixed sequence of events with names replaced by `rename`, and return a log of the actions.

    In the log, the endpoints have their original names again.
    """
    def name(text: str) -> str:
        return rename.get(text, text)

    rng = random.Random(1)
    classes = tuple(
        api.RequestClass(
            name(c), 400.0 * (i + 1), 2000.0, idempotency, api.DedupeScope.ZONE, 900.0, worth=i + 1)
        for i, (c, idempotency) in enumerate(zip(("read", "write", "keyed"), api.Idempotency, strict=True))
    )
    tenants = (api.Tenant(name("small"), 20.0), api.Tenant(name("large"), 500.0))
    balancer_settings = make_settings(
        zone=name("a"), classes=classes, tenants=tenants, over_quota_worth_factor=0.1,
        score_costs=api.ScoreCosts(cross_zone=0.2),
    )
    balancer = Balancer(balancer_settings, seed)
    listed = tuple(
        api.Endpoint(name(f"s{i}"), name("ab"[i % 2]), cell=i // 3, started_ms=900.0 if i % 4 == 0 else None)
        for i in range(servers)
    )
    now_ms, log, pending = 1000.0, [], []
    original_names = {v: k for k, v in rename.items()}
    events: list[api.Event] = [api.Started(), api.EndpointsListed(api.ListKind.FULL, listed)]
    for i in range(1500):
        events.append(api.RequestArrived(
            f"q{i}", name(rng.choice(("read", "write", "keyed"))), 1500.0,
            name(rng.choice(("small", "large")))))
        for event in events:
            for action in balancer.handle(now_ms, event):
                if isinstance(action, api.Send):
                    pending.append((now_ms + rng.choice([5, 60, 400]), action.request, now_ms))
                    log.append(
                        f"send {action.request} {original_names.get(action.endpoint, action.endpoint)}")
                else:
                    log.append(repr(action))
        now_ms += 4.0
        events = []
        attempt_numbers: dict[str, int] = {}
        for end_ms, request, sent_ms in [entry for entry in pending if entry[0] <= now_ms]:
            pending.remove((end_ms, request, sent_ms))
            request_state = balancer.requests.get(request)
            attempt_numbers[request] = len(request_state.attempts) - 1 if request_state else 0
            outcome = rng.choice([api.Outcome.OK] * 5 + [api.Outcome.ERROR, api.Outcome.RESET])
            events.append(api.AttemptEnded(
                request, attempt_numbers[request], outcome, now_ms - sent_ms, outcome is api.Outcome.OK))
    return log


def test_decisions_do_not_depend_on_names() -> None:
    names = ["a", "b", "read", "write", "keyed", "small", "large", *(f"s{i}" for i in range(12))]
    rng = random.Random(9)
    renamed = {n: f"{rng.getrandbits(60):x}" for n in names}
    log = run_events({})
    assert log == run_events(renamed)
    assert any(line.startswith("Refuse") for line in log)
    assert any(line.startswith("Fail") for line in log)


def test_decisions_depend_on_the_seed() -> None:
    assert run_events({}, seed=3) != run_events({}, seed=4)


def test_decisions_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "from tests.test_invariants import run_events; import zlib; "
        "print(zlib.crc32(repr(run_events({})).encode()))")
    checksums = {
        subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True, text=True, check=True,
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(checksums) == 1


def test_state_of_past_requests_and_servers_is_removed() -> None:
    balancer = Balancer(make_settings(), 1)
    for i in range(200):
        listed = tuple(api.Endpoint(f"s{i}-{k}", "a", cell=k) for k in range(5))
        balancer.handle(i * 10.0, api.EndpointsListed(api.ListKind.FULL, listed))
        balancer.handle(i * 10.0, api.RequestArrived(f"q{i}", "read", 500.0))
        balancer.handle(i * 10.0 + 5, api.AttemptEnded(f"q{i}", 0, api.Outcome.OK, 5.0, True))
    assert len(balancer.host_set.servers) == 5
    assert not balancer.requests


def test_a_second_ejection_does_not_decrement_the_in_flight_count_twice() -> None:
    """If it did, the count of calls in flight would stay too low, and too many calls would be admitted."""
    balancer = Balancer(make_settings(limits=api.Limits(max_attempts=1)), 1)
    balancer.handle(0.0, api.EndpointsListed(api.ListKind.FULL, (api.Endpoint("a0", "a"),)))
    balancer.handle(0.0, api.RequestArrived("long", "read", 60000.0))
    # Two connect failures in a row eject the server, once at 0 s and once more at 20 s.
    for i in range(4):
        now_ms = 20000.0 * (i // 2)
        balancer.handle(now_ms, api.RequestArrived(f"q{i}", "read", 2000.0))
        balancer.handle(now_ms + 1.0, api.AttemptEnded(f"q{i}", 0, api.Outcome.CONNECT_FAILED, 1.0))
    assert balancer.host_set.servers["a0"].ejections == 2
    balancer.handle(30000.0, api.AttemptEnded("long", 0, api.Outcome.OK, 30000.0, True))
    assert balancer.host_set.zones["a"].in_flight == 0


@given(st.integers(0, 2**32))
@settings(max_examples=40, deadline=None)
def test_the_in_flight_count_of_a_zone_equals_the_attempts_that_count_toward_its_limit(seed: int) -> None:
    """An attempt no longer counts when it hangs or its server is ejected, although it has not ended."""
    rng, now_ms = random.Random(seed), 0.0
    limits = api.Limits(max_attempts=3, concurrent_attempts=rng.random() < 0.5)
    balancer = Balancer(make_settings(limits=limits), seed)
    names = [f"s{i}" for i in range(6)]
    pending: list[tuple[str, int, float]] = []
    attempt_counts: dict[str, int] = {}
    for i in range(300):
        now_ms += rng.choice((1.0, 20.0, 400.0))
        if i % 20 == 0:
            listed = tuple(api.Endpoint(n, "ab"[int(n[1]) % 2]) for n in names if rng.random() < 0.8)
            actions = balancer.handle(now_ms, api.EndpointsListed(api.ListKind.FULL, listed))
        elif pending and rng.random() < 0.5:
            request, attempt, sent_ms = pending.pop(rng.randrange(len(pending)))
            outcome = rng.choice([api.Outcome.OK] * 4 + list(api.Outcome))
            actions = balancer.handle(now_ms, api.AttemptEnded(
                request, attempt, outcome, now_ms - sent_ms, outcome is api.Outcome.OK))
        else:
            actions = balancer.handle(
                now_ms, api.RequestArrived(f"q{i}", rng.choice(("read", "keyed")), 3000.0))
        for action in actions:
            if isinstance(action, api.Send):
                pending.append((action.request, attempt_counts.get(action.request, 0), now_ms))
                attempt_counts[action.request] = attempt_counts.get(action.request, 0) + 1
        active = [a for r in balancer.requests.values() for a in r.attempts if a.active]
        assert len(active) == len(pending)
        for zone in balancer.host_set.zones.values():
            assert zone.in_flight == sum(a.counted_in_flight for a in active if a.zone is zone) >= 0
    for request, attempt, sent_ms in pending:
        balancer.handle(
            now_ms, api.AttemptEnded(request, attempt, api.Outcome.TIMEOUT, now_ms - sent_ms, True))
    assert [z.in_flight for z in balancer.host_set.zones.values()] == [0] * len(balancer.host_set.zones)


BALANCER_FILES = [ROOT / name for name in tomllib.loads(
    (ROOT / "deploy" / "balancer.toml").read_text())["policy"]]


def test_the_balancers_files_stay_within_size_limits_and_name_the_interface_module() -> None:
    texts = {path: path.read_text().splitlines() for path in BALANCER_FILES}
    sizes = {path: sum(bool(line.strip()) for line in lines) for path, lines in texts.items()}
    assert all(size <= 400 for size in sizes.values())
    assert max(len(line) for lines in texts.values() for line in lines) <= 110
    # The head of balancer.py has to name the module that defines its events and actions.
    assert "honeywharf/interface.py" in "\n".join(texts[ROOT / "honeywharf" / "balancer.py"][:3])


def test_the_deploy_file_lists_every_file_of_the_balancer() -> None:
    assert set(BALANCER_FILES) == {
        ROOT / "honeywharf" / "balancer.py", *(ROOT / "honeywharf" / "policy").glob("*.py")}


@pytest.mark.parametrize("path", BALANCER_FILES, ids=lambda path: path.name)
def test_the_balancers_files_contain_no_names_of_deployments(path: Path) -> None:
    text = path.read_text().lower()
    # Names that belong to deployments, some of which look like ordinary words.
    for word in ("zagreb", "tallinn", "tbilisi", "obrazac", "tile", "quote", "uni-labs", "front"):
        assert not re.search(rf"\b{word}\b", text)
