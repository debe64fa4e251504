"""The balancer's interface: settings in, events in, actions out.

All times are milliseconds on the caller's clock. Nothing here decides anything: the decisions are
in balancer.py, and an embedding proxy (or an adapter such as drill.py) builds these values.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class EndpointState(Enum):
    """What discovery says of an endpoint's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list already held."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Idempotency(Enum):
    """Whether a request may run more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class DedupeScope(Enum):
    """Which endpoints drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReporting(Enum):
    """How an endpoint's load reports reach a balancer."""

    IN_RESPONSES = "with answers"
    BY_PROBE = "by probe"
    NONE = "none"


class WeightSource(Enum):
    """What an endpoint's `weight` is: nothing, as registered, about that, or divided by what it holds."""

    NONE = "none"
    REGISTERED = "registered"
    APPROXIMATE = "rough"
    LIVE = "live"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"  # refused, or broken before the last byte left
    CONNECT_TIMEOUT = "connect timeout"  # no connection came up in time
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class GiveUpReason(Enum):
    """Why a request ends without a further attempt."""

    LIST_EXPIRED = "list overdue"  # what the list held may lack counts as told
    NO_SERVER = "no server"  # none is usable and has room
    NO_TIME = "no time"  # its deadline has come, in a queue or between attempts
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_RETRY_BUDGET = "no retry budget"
    UNKNOWN_CLASS = "unknown class"


#: Outcomes that prove the attempt did not run.
NOT_EXECUTED_OUTCOMES = frozenset({
    Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.CONNECT_TIMEOUT, Outcome.NOT_SENT})
#: Outcomes after which the attempt may still be at work.
MAYBE_RUNNING_OUTCOMES = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server as discovery lists it. `started_ms` is None where it started long ago.

    `weight` compares endpoints with each other as `Settings.weight_source` says; `machine_type` is one of
    `Settings.machine_types`.
    """

    id: str
    zone: str
    state: EndpointState = EndpointState.READY
    cell: int = 0
    started_ms: float | None = None
    weight: float = 1.0
    machine_type: str = ""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a class of requests is worth, when, and how often it may run.

    `ordered_by_key`: requests of such classes that share a key run one at a time, in the order taken.
    `aim_per_work`: the aim grows by so many times the work of the request itself.
    `late_worth_fraction`: the part of the worth that an answer after the aim still has.
    """

    name: str
    aim_ms: float
    deadline_ms: float
    idempotency: Idempotency = Idempotency.REPEATABLE
    dedupe_scope: DedupeScope = DedupeScope.ALL
    dedupe_window_ms: float = 0.0
    worth: float = 1.0
    late_worth_fraction: float = 0.0
    ordered_by_key: bool = False
    stream: bool = False
    aim_per_work: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's requests a second, over all balancers, that count in full."""

    name: str
    quota_per_s: float
    portion: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the site allows a balancer to do."""

    max_attempts: int = 3
    concurrent_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    peer_messages: bool = False
    max_concurrent_requests: int = 0  # requests held at once, 0 where nothing is said
    max_concurrent_streams: int = 1  # attempts that one connection carries at once
    idle_timeout_ms: float = 0.0  # a connection unused for so long is closed
    connect_timeout_ms: float = 0.0
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules on answers, drains, cold starts, polled lists and order.

    `key_cooldown_ms`: how long a key rests after an attempt that may still run (0 where order asks nothing).
    """

    answer_grace_ms: float = 0.0
    drain_grace_ms: float = 1000.0
    slow_start_share: float = 1.0
    warm_up_ms: float = 0.0
    cold_overload_factor: float = 3.0
    cold_overload_window_ms: float = 2000.0
    poll_interval_ms: float = 0.0
    key_cooldown_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreCosts:
    """Points of the result that each unit costs."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_failure: float = 0.0
    probe: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    discovery: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    origin: float = 0.0
    peer: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreWeights:
    """The weights of the parts of the result."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a balancer is told when it starts.

    `balancer_count` counts the balancers of its tier and `balancer_index` is this one's number among them;
    `tier` is the place in `tier_names` of the tier it sends to. `propagates_deadline`: a call brings the time
    that its caller has left, not the whole deadline of its class. `worth_per_work_unit`: worth is counted by
    work, not by request.
    """

    zone: str
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth_factor: float = 1.0
    tier: int = 0
    tier_count: int = 1
    balancer_count: int = 1
    zone_count: int = 1
    polled_discovery: bool = False
    propagates_deadline: bool = True
    load_report_fields: tuple[str, ...] = ()
    load_reporting: LoadReporting = LoadReporting.NONE
    balancer_index: int = 0
    min_event_interval_ms: float = 0.0  # the least time between two rounds of events
    domain: str = ""
    zone_names: tuple[str, ...] = ()
    tier_names: tuple[str, ...] = ()
    machine_types: tuple[str, ...] = ()
    weight_source: WeightSource = WeightSource.REGISTERED
    worth_per_work_unit: bool = False
    clients_mark_retries: bool = False
    warm_keys: bool = False
    score_weights: ScoreWeights = field(default_factory=ScoreWeights)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    score_costs: ScoreCosts = field(default_factory=ScoreCosts)

    def __post_init__(self) -> None:
        """Refuse settings that contradict themselves."""
        def require(holds: bool, fault: str) -> None:
            if not holds:
                raise ValueError(f"settings: {fault}")

        names = [c.name for c in self.classes]
        require(bool(names), "no request class")
        require(len(set(names)) == len(names), "a request class is named twice")
        require(len({t.name for t in self.tenants}) == len(self.tenants), "a tenant is named twice")
        for c in self.classes:
            require(0 < c.aim_ms <= c.deadline_ms, f"class {c.name}: aim outside (0, deadline]")
            require(c.worth >= 0 and c.late_worth_fraction >= 0, f"class {c.name}: negative worth")
            require(c.idempotency is not Idempotency.KEYED or c.dedupe_window_ms >= 0,
                    f"class {c.name}: negative window")
            require(not (c.ordered_by_key and c.stream), f"class {c.name}: a stream cannot be in order")
            require(c.aim_per_work >= 0, f"class {c.name}: negative aim stretch")
        require(all(t.quota_per_s >= 0 for t in self.tenants), "a tenant's quota is negative")
        require(self.limits.max_attempts >= 1, "no attempt allowed")
        require(0 <= self.tier < self.tier_count, "tier outside the tiers")
        require(len(self.tier_names) in (0, self.tier_count), "tier names do not match the tiers")
        require(self.balancer_count >= 1 and self.zone_count >= 1, "no balancer or no zone")
        require(self.balancer_index >= 0, "own number is negative")
        require(not self.zone_names or self.zone in self.zone_names, "own zone is not among the zones")
        require(0 < self.rules.slow_start_share <= 1, "cold share outside (0, 1]")
        require(min(self.rules.warm_up_ms, self.rules.answer_grace_ms, self.rules.drain_grace_ms) >= 0,
                "negative time")
        require(self.rules.key_cooldown_ms >= 0, "negative turn gap")
        require(self.rules.cold_overload_factor > 0, "cold multiple is not positive")
        require(not self.polled_discovery or self.rules.poll_interval_ms > 0,
                "polled discovery without a period")


# Events: what happened.


@dataclass(slots=True, frozen=True)
class Started:
    """The balancer runs from now on."""


@dataclass(slots=True, frozen=True)
class EndpointsListed:
    """Word from discovery. A FAILED event carries no endpoints: the list held stands.

    `expires_at_ms`: nothing may be sent on the list from then on, until another event gives a later time.
    """

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    generation: int = 0
    expires_at_ms: float = math.inf

    def summary(self) -> str:
        """What the list says, for the operator: its kind, its generation, and its entries by state."""
        states = Counter(endpoint.state for endpoint in self.endpoints)
        entries = ", ".join(f"{states[state]} {state.value}" for state in EndpointState)
        return f"{self.kind.value} to generation {self.generation}: {entries}"


@dataclass(slots=True, frozen=True)
class ListExpiryChanged:
    """Nothing may be sent on the list held from then on, as changes that it may lack count as told.

    A time that has passed holds until the next list comes, if only one that tells of no change.
    """

    expires_at_ms: float


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A request to answer exactly once within `remaining_ms`; `key` is empty where it has none."""

    id: str
    class_name: str
    remaining_ms: float
    tenant: str = ""
    is_retry: bool = False
    key: str = ""
    is_write: bool = False
    work_hint_ms: float | None = None


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """A streamed answer has begun: the attempt is the client's now."""

    request: str
    attempt: int
    endpoint: str = ""
    elapsed_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt's one outcome. `request_finished`: no final answer is owed any more.

    `time_to_send_ms`: the part of `elapsed_ms` that had passed when its bytes left; all of it where none did.
    """

    request: str
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    request_finished: bool = False
    load_report: tuple[float, ...] | None = None
    endpoint: str = ""
    time_to_send_ms: float = 0.0

    @property
    def response_time_ms(self) -> float:
        """The time from when its bytes left: what the endpoint took, as opposed to the way there."""
        return self.elapsed_ms - self.time_to_send_ms


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client has left: nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """What a probe of an endpoint found."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    load_report: tuple[float, ...] | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by SetTimer has come due."""

    token: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


Event = (
    Started | EndpointsListed | ListExpiryChanged | RequestArrived | ResponseStarted | AttemptEnded
    | RequestAbandoned | ProbeEnded | TimerFired | PeerMessage
)


# Actions: what to do, in order.


@dataclass(slots=True, frozen=True)
class Send:
    """Start the request's next attempt (they count from 0) at an endpoint.

    `timeout_ms` bounds the whole attempt, 0: until the client gives up. `send_within_ms` bounds the time
    until its bytes leave, as it may wait for a connection: later it must not leave, and ends as NOT_SENT.
    """

    request: str
    endpoint: str
    timeout_ms: float
    send_within_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not run; trying again is harmless, after `retry_after_ms` where it is given."""

    request: str
    retry_after_ms: float = 0.0
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the operator


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the operator


@dataclass(slots=True, frozen=True)
class Probe:
    """Check on an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired with this token at `at_ms` or soon after."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask discovery for the whole list, once."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operator."""

    message: str


Action = (
    Send | Cancel | Refuse | Fail | Probe | SetTimer | WatchEndpoints | FetchEndpoints | CloseIdleConnections
    | Log
)
