"""What a seed draws: the deployment, and the troubles with their times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

ZONES = ("krakow-a", "krakow-b", "tarnow", "wieliczka")
START_S = 2.0  # before the first trouble
SETTLE_S = 1.5  # after the last one


class Party(Enum):
    """Whose behaviour a trouble changes."""

    CLIENTS = "clients"
    SERVERS = "servers"
    DISCOVERY = "discovery"
    LOG = "log"
    SIGNALS = "signals"
    SYSTEM = "system"


@dataclass(frozen=True)
class Kind:
    """A kind of trouble.

    `fills_descriptors`: new connections may be closed unread while it lasts.
    `whole_run`: it is set up at the start of the process and lasts to the end.
    """

    name: str
    party: Party
    fills_descriptors: bool = False
    whole_run: bool = False


KINDS: tuple[Kind, ...] = (
    *(Kind(name, Party.CLIENTS) for name in (
        "half_body", "short_fields", "small_chunks", "slow_writers", "noise", "small_requests",
        "unread_flood", "new_names", "leaving", "half_closed", "valid_flood", "megabytes")),
    Kind("idle_crowd", Party.CLIENTS, fills_descriptors=True),
    Kind("connect_storm", Party.CLIENTS, fills_descriptors=True),
    *(Kind(name, Party.SERVERS) for name in (
        "byte_chunks", "long_responses", "endless", "many_fields", "trickle", "cut_off", "hang",
        "unsolicited")),
    *(Kind(name, Party.DISCOVERY) for name in (
        "long_list", "many_changes", "byte_chunked_list", "endless_list", "garbage", "silent", "resets",
        "restarting_list")),
    *(Kind(name, Party.LOG, whole_run=True) for name in ("full_log", "stalled_log", "closed_log")),
    *(Kind(name, Party.SIGNALS) for name in (
        "kill_series", "reload_series", "terminate", "pauses", "throttled")),
    *(Kind(name, Party.SYSTEM, whole_run=True) for name in (
        "accept_errors", "socket_errors", "short_io", "interrupted", "clock_step")),
)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclass(frozen=True)
class Trouble:
    """One trouble of a scenario, in seconds since the proxy was first ready."""

    kind: Kind
    start_s: float
    end_s: float


@dataclass(frozen=True)
class Scenario:
    """Everything that a seed decides."""

    seed: int
    memory_mb: int
    descriptors: int
    server_count: int
    polled: bool
    deadline_ms: float
    rate_per_s: float
    duration_s: float
    tier: int
    troubles: tuple[Trouble, ...] = field(default_factory=tuple)

    def has(self, name: str) -> bool:
        """Return whether the scenario has a trouble of this kind."""
        return any(trouble.kind.name == name for trouble in self.troubles)

    def touches(self, party: Party) -> bool:
        """Return whether the scenario has a trouble of this party."""
        return any(trouble.kind.party is party for trouble in self.troubles)

    def settings(self) -> dict[str, Any]:
        """Return the settings of the proxy, in the form of its configuration file."""
        classes = [
            {"name": "list", "idempotency": "repeatable", "aimMs": self.deadline_ms / 3, "worth": 2.0,
             "group": "all", "windowMs": 0.0},
            {"name": "offer", "idempotency": "by_key", "aimMs": self.deadline_ms / 3, "worth": 3.0,
             "group": "all", "windowMs": 3000.0},
            {"name": "pledge", "idempotency": "once", "aimMs": self.deadline_ms / 3, "worth": 5.0,
             "group": "all", "windowMs": 0.0},
        ]
        return {
            "bounds": {
                "cancel": True, "connIdleMs": 5000.0, "connectTimeoutMs": 150.0, "maxRetryAfterMs": 1000.0,
                "mostTries": 4, "probes": False, "retryAfter": True, "secondCopies": False, "openCap": 20000},
            "contract": {
                "askEveryMs": 10000.0, "coldShare": 0.12, "graceToAnswerMs": 20.0, "overloadForMs": 2000.0,
                "stopSendingWithinMs": 250.0, "tipMultiple": 3.0, "warmAfterMs": 24000.0},
            "discovery": "ask" if self.polled else "push", "familyInfo": {"passesDeadline": True},
            "me": 0, "nInstances": 1, "report": {"fields": [], "how": "silent"}, "tier": self.tier,
            "tiers": ["first", "second"],
            "profiles": [{"deadlineMs": self.deadline_ms, "lateValue": 0.25, **c} for c in classes],
            "zone": ZONES[0], "zones": list(ZONES)}


def draw(seed: int, kind_names: tuple[str, ...] = (), duration_s: float = 8.0) -> Scenario:
    """Draw the scenario of a seed; with `kind_names`, it has exactly these kinds of trouble."""
    rng = random.Random(seed)
    if kind_names:
        kinds = [KINDS_BY_NAME[name] for name in kind_names]
    else:
        # Every kind comes in its turn; one or two others are drawn beside it.
        kinds = [KINDS[seed % len(KINDS)]]
        others = [kind for kind in KINDS if kind not in kinds and kind.party is not kinds[0].party]
        kinds += _of_different_parties(rng, others, rng.randint(1, 2))
    troubles = []
    for kind in kinds:
        start_s = 0.0 if kind.whole_run else rng.uniform(0.0, 0.3 * duration_s)
        end_s = duration_s if kind.whole_run else start_s + rng.uniform(0.4, 0.7) * duration_s
        troubles.append(Trouble(kind, START_S + start_s, START_S + end_s))
    return Scenario(
        seed=seed, memory_mb=rng.choice((32, 32, 48, 192)), descriptors=rng.choice((256, 512, 1024, 1024)),
        server_count=rng.choice((4, 12, 12, 24)), polled=rng.random() < 0.5,
        deadline_ms=rng.choice((700.0, 1500.0, 1500.0, 3000.0)), rate_per_s=40.0, duration_s=duration_s,
        tier=rng.choice((0, 0, 1)), troubles=tuple(troubles))


def _of_different_parties(rng: random.Random, kinds: list[Kind], count: int) -> list[Kind]:
    chosen: list[Kind] = []
    while kinds and len(chosen) < count:
        chosen.append(rng.choice(kinds))
        kinds = [kind for kind in kinds if kind.party is not chosen[-1].party]
    return chosen
