"""The types of the balancer's interface: its settings, the events it receives and the actions it returns.

All times are in milliseconds on the clock of the embedding program, which is a proxy or an adapter such as
simulator_adapter.py. This module holds data only; the decisions are made in balancer.py.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class EndpointState(Enum):
    """The lifecycle state of an endpoint, as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an EndpointsListed event relates to the current endpoint list."""

    CHANGES = "changes"  # lists only the endpoints that changed
    FULL = "full"  # replaces the current list
    CACHED = "cached"  # replaces the current list, from a cached copy that may be out of date
    FAILED = "failed"  # the request to discovery failed, and the current list stays


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    REPEATABLE = "repeatable"  # it may be repeated anywhere
    KEYED = "keyed"  # it has an idempotency key: endpoints of its deduplication scope drop repeats of it
    ONCE = "once"  # it must not be repeated once it may have been executed


class DedupeScope(Enum):
    """Which endpoints recognize and drop a repeat of a KEYED request that one of them has received."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReporting(Enum):
    """How the load reports of endpoints reach a balancer."""

    IN_RESPONSES = "in responses"
    BY_PROBE = "by probe"
    NONE = "none"


class WeightSource(Enum):
    """Where the weights of endpoints come from. The balancer uses the weights whatever their source is."""

    NONE = "none"  # weights carry no information (the balancer uses them nevertheless)
    REGISTERED = "registered"  # the registered capacity
    APPROXIMATE = "approximate"  # approximately the registered capacity
    LIVE = "live"  # the registered capacity divided by the endpoint's current load


class Outcome(Enum):
    """The result of an attempt or of a probe."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"  # refused, or closed before the whole request was written
    CONNECT_TIMEOUT = "connect timeout"  # no connection was established in time
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class GiveUpReason(Enum):
    """Why the balancer ends a request without a further attempt."""

    LIST_EXPIRED = "list overdue"  # the current endpoint list has expired
    NO_SERVER = "no server"  # no usable server has capacity
    NO_TIME = "no time"  # the deadline passed in a queue or between attempts
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_RETRY_BUDGET = "no retry budget"
    UNKNOWN_CLASS = "unknown class"


#: Outcomes after which the endpoint is known not to have executed the request.
NOT_EXECUTED_OUTCOMES = frozenset({
    Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.CONNECT_TIMEOUT, Outcome.NOT_SENT})
#: Outcomes after which the endpoint may still be executing the request.
MAYBE_RUNNING_OUTCOMES = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server, as discovery lists it.

    `cell`: the part of the zone that it belongs to; DedupeScope.CELL refers to it.
    `started_ms`: when the process started, in Unix time as discovery states it, or None if that was long
    ago. The wall clock may have been stepped since.
    `weight`: the capacity relative to other endpoints; `Settings.weight_source` says how it is determined.
    `machine_type`: one of `Settings.machine_types`.
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
    """The latency objective, the worth and the retry rules of a class of requests.

    `aim_ms`: a response within this time counts in full.
    `deadline_ms`: a response after this time counts for nothing.
    `dedupe_scope`, `dedupe_window_ms`: where, and for how long, repeats of a KEYED request are dropped.
    `worth`: the value of a response, relative to that of other classes.
    `late_worth_fraction`: the fraction of the worth that a response between aim and deadline keeps.
    The balancer does not use it.
    `ordered_by_key`: requests with the same ordering key (`RequestArrived.key`) run one at a time, in the
    order of their arrival. All classes with this flag share one set of ordering keys.
    `stream`: the response is streamed to the client.
    `aim_per_work`: the aim grows by this factor times the work of the request, which is a time in
    milliseconds like `RequestArrived.work_hint_ms`. The balancer does not use it.
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
    """A tenant and its quota: the requests per second, over all balancers, that keep their full worth.

    `portion`: read from the settings; this program does not use it.
    """

    name: str
    quota_per_s: float
    portion: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """The features and resources that the deployment allows a balancer.

    This program does not use `cancel`, `probes`, `peer_messages`, `max_concurrent_streams`, `cpu_us_per_s`
    and `cpu_us_per_request`.
    """

    max_attempts: int = 3
    concurrent_attempts: bool = False  # hedged requests are allowed
    cancel: bool = False  # attempts can be cancelled
    probes: bool = False
    retry_after: bool = False  # refusals may carry a retry delay
    max_retry_after_ms: float = 0.0
    peer_messages: bool = False
    max_concurrent_requests: int = 0  # requests without a final response; 0 means no limit
    max_concurrent_streams: int = 1  # attempts in flight on one connection
    idle_timeout_ms: float = 0.0  # an unused connection is closed after this time
    connect_timeout_ms: float = 0.0
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The parameters of the rules on final responses, drains, slow start, discovery and ordered requests.

    `response_grace_ms`: how long after its deadline a request may still get its final response, which is the
    one that ends the request towards the client. The balancer does not use it.
    `drain_grace_ms`: how long a balancer may keep sending to an endpoint after the start of its drain.
    `slow_start_share`: the share of its capacity that a server has when it starts.
    `warm_up_ms`: the time in which that share grows to the whole capacity; 0 disables slow start.
    `cold_overload_factor`: a server that is still warming up becomes overloaded when its load exceeds its
    present share of the capacity by this factor.
    `cold_overload_window_ms`: how long the load must stay that high. The balancer does not use it.
    `poll_interval_ms`: the longest time that a balancer without an active watch may go without a poll of
    discovery, if `polled_discovery` is set.
    `key_cooldown_ms`: how long an ordering key stays blocked after an attempt that may still be running.
    """

    response_grace_ms: float = 0.0
    drain_grace_ms: float = 1000.0
    slow_start_share: float = 1.0
    warm_up_ms: float = 0.0
    cold_overload_factor: float = 3.0
    cold_overload_window_ms: float = 2000.0
    poll_interval_ms: float = 0.0
    key_cooldown_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreCosts:
    """The points that each unit of a resource or of a fault takes off the evaluation score.

    They are read from the settings; this program does not use them.
    """

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
    """The weights of the parts of the evaluation score. This program does not use them."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one balancer.

    `zone`: the zone that the balancer runs in.
    `over_quota_worth_factor`: multiplies the worth of the requests that a tenant makes beyond its quota.
    `tier`: the index in `tier_names` of the tier that the balancer sends to. Tier 0, the first tier, serves
    the clients. Each tier calls the next one, its upstream tier.
    `balancer_count`, `balancer_index`: the number of balancers that send to that tier, and the index of this
    one.
    `zone_count`, `tier_count`: the number of zones and of tiers, even if they are not named.
    `polled_discovery`: the balancer requests the endpoint list with WatchEndpoints when it starts and after
    each failure. Otherwise lists are pushed to it.
    `propagates_deadline`: a call carries the time that its caller has left, not the deadline of its class.
    This program does not read the setting: the proxy always sends the remaining time.
    `load_report_fields`: the names of the values in a load report, in their order.
    `min_event_interval_ms`: the shortest time between two batches of events. This program does not use it.
    `worth_per_work_unit`: worth is counted per unit of work, not per request. This program does not use it.
    `clients_mark_retries`: clients set `RequestArrived.is_retry`. This program does not use it.
    `domain`, `warm_keys`: read from the settings; this program does not use them.
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
    min_event_interval_ms: float = 0.0
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
        """Raise ValueError if the settings contradict each other.

        Most messages name a setting by its key in the configuration file, which codec.py reads.
        """
        def require(condition: bool, message: str) -> None:
            if not condition:
                raise ValueError(f"settings: {message}")

        names = [cls.name for cls in self.classes]
        require(bool(names), "no request class is configured")
        require(len(set(names)) == len(names), "two request classes have the same name")
        require(len({t.name for t in self.tenants}) == len(self.tenants), "two tenants have the same name")
        for cls in self.classes:
            require(0 < cls.aim_ms <= cls.deadline_ms,
                    f"class {cls.name}: aimMs must be positive and at most deadlineMs")
            require(cls.worth >= 0 and cls.late_worth_fraction >= 0,
                    f"class {cls.name}: worth and lateValue must not be negative")
            require(cls.idempotency is not Idempotency.KEYED or cls.dedupe_window_ms >= 0,
                    f"class {cls.name}: windowMs, the deduplication window, is negative")
            require(not (cls.ordered_by_key and cls.stream),
                    f"class {cls.name}: a stream cannot be ordered by key (fifoByKey)")
            require(cls.aim_per_work >= 0, f"class {cls.name}: aimStretch is negative")
        require(all(t.quota_per_s >= 0 for t in self.tenants), "quotaPerS, a tenant's quota, is negative")
        require(self.limits.max_attempts >= 1, "mostTries, the number of attempts, must be at least 1")
        require(0 <= self.tier < self.tier_count, "the tier index must be below the number of tiers")
        require(len(self.tier_names) in (0, self.tier_count),
                "the number of tier names differs from the number of tiers")
        require(self.balancer_count >= 1 and self.zone_count >= 1,
                "nInstances (the number of balancers) and the number of zones must be at least 1")
        require(self.balancer_index >= 0, "me, the balancer index, is negative")
        require(not self.zone_names or self.zone in self.zone_names,
                "the balancer's local zone is not among the zones")
        require(0 < self.rules.slow_start_share <= 1,
                "coldShare, the slow start share, must be above 0 and at most 1")
        require(min(self.rules.warm_up_ms, self.rules.response_grace_ms, self.rules.drain_grace_ms) >= 0,
                "warmAfterMs, graceToAnswerMs or stopSendingWithinMs is negative")
        require(self.rules.key_cooldown_ms >= 0, "turnGapMs, the key cooldown, is negative")
        require(self.rules.cold_overload_factor > 0,
                "tipMultiple, the cold overload factor, must be positive")
        require(not self.polled_discovery or self.rules.poll_interval_ms > 0,
                "polled discovery needs a positive poll interval, askEveryMs")


# Events that the embedding program passes to the balancer.


@dataclass(slots=True, frozen=True)
class Started:
    """The balancer has started."""


@dataclass(slots=True, frozen=True)
class EndpointsListed:
    """A response or a push from discovery. A FAILED event has no endpoints, and the current list stays.

    `generation`: the version of the list, as discovery numbers it.
    `expires_at_ms`: when the list expires. From then on the balancer sends nothing until another event gives
    a later time.
    `previous_list_current_ms`: the latest time at which discovery is known to have had nothing newer than the
    list before this one, or -inf if that is not known. What is new in this list was listed after that.
    """

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    generation: int = 0
    expires_at_ms: float = math.inf
    previous_list_current_ms: float = -math.inf

    def summary(self) -> str:
        """Describe the list for the log: its kind, its generation and the number of endpoints by state."""
        counts = Counter(endpoint.state for endpoint in self.endpoints)
        entries = ", ".join(f"{counts[state]} {state.value}" for state in EndpointState)
        return f"endpoint list ({self.kind.value}), generation {self.generation}: {entries}"


@dataclass(slots=True, frozen=True)
class ListExpiryChanged:
    """The current endpoint list expires at `expires_at_ms`, and the balancer sends nothing from then on.

    An expired list may be stale. If the time is in the past, the balancer sends nothing until another
    event gives a later time, such as an EndpointsListed event that lists no change.
    """

    expires_at_ms: float


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A request that needs exactly one final response within `remaining_ms`.

    `is_retry`: the client marks it as a retry. The balancer does not use it.
    `key`: the ordering key, or empty. Requests of ordered classes with the same key run in order.
    `is_write`: the client marks it as a write. The balancer does not use it.
    `work_hint_ms`: an estimate of its work as a time, if the client gives one. The balancer does not use it.
    """

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
    """A streamed response has begun, so the balancer must not end its request with Refuse or Fail."""

    request: str
    attempt: int
    endpoint: str = ""
    elapsed_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; each attempt ends exactly once.

    `load_report`: the endpoint's load report, with the values of `Settings.load_report_fields`.
    `request_finished`: the request needs no final response any more, because the client has it or has
    disconnected.
    `time_to_send_ms`: the part of `elapsed_ms` before the request was written to the socket, or all of
    `elapsed_ms` if it never was.
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
        """The time from when the request was written to the socket until the attempt ended."""
        return self.elapsed_ms - self.time_to_send_ms


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client no longer waits for the request, which needs no final response any more."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """A probe of an endpoint has ended."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    load_report: tuple[float, ...] | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with SetTimer is due."""

    token: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another balancer of the same tier has arrived."""

    sender: int
    payload: bytes


Event = (
    Started | EndpointsListed | ListExpiryChanged | RequestArrived | ResponseStarted | AttemptEnded
    | RequestAbandoned | ProbeEnded | TimerFired | PeerMessage
)


# Actions that the embedding program carries out, in the order in which they are returned.


@dataclass(slots=True, frozen=True)
class Send:
    """Start the request's next attempt, at an endpoint. Attempts of a request are numbered from 0.

    `timeout_ms`: the timeout of the whole attempt; 0 means that the attempt has no timeout of its own.
    `send_within_ms`: how long the attempt may wait for a connection. If it has not been written to the
    socket by then, it must not be sent any more, and ends as NOT_SENT.
    """

    request: str
    endpoint: str
    timeout_ms: float
    send_within_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """End the request with a final response which says that the client may retry it safely.

    `retry_after_ms`: how long the client is asked to wait before it retries; 0 means that it is not told.
    """

    request: str
    retry_after_ms: float = 0.0
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for logs and metrics


@dataclass(slots=True, frozen=True)
class Fail:
    """End the request with a final response which says that it failed and may have been executed."""

    request: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for logs and metrics


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe the health of an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event with this token at `at_ms` or shortly after."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Start to watch discovery for changes of the endpoint list, or start again after a failure."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the whole endpoint list from discovery, once."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    message: str


Action = (
    Send | Cancel | Refuse | Fail | Probe | SetTimer | WatchEndpoints | FetchEndpoints | CloseIdleConnections
    | Log
)
