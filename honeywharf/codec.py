"""Decodes the JSON of the settings and of the simulator's events, and encodes actions as JSON.

The proxy's configuration file holds the same settings object as the simulator's `Born` event.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from honeywharf import interface as api

JsonObject = dict[str, Any]


class DecodeError(Exception):
    """A message or a settings object is malformed, for example because a field has the wrong type."""


#: Values of the field `how` of `Ended` and `Probed` events.
OUTCOME_BY_CODE = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.REJECTED,
    504: api.Outcome.TIMEOUT,
    502: api.Outcome.CONNECT_FAILED,
    598: api.Outcome.RESET,
    499: api.Outcome.CANCELLED,
    410: api.Outcome.NOT_SENT,
}
#: Values of the field `kind` of `Membership` events.
LIST_KIND_BY_CODE = {
    "D": api.ListKind.CHANGES,
    "F": api.ListKind.FULL,
    "C": api.ListKind.CACHED,
    "X": api.ListKind.FAILED,
}
#: Values of the field `status` of an entry of an endpoint list.
ENDPOINT_STATE_BY_NAME = {
    "ready": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "gone": api.EndpointState.GONE,
}
#: Values of the setting `idempotency` of a request class.
IDEMPOTENCY_BY_NAME = {
    "repeatable": api.Idempotency.REPEATABLE,
    "by_key": api.Idempotency.KEYED,
    "once": api.Idempotency.ONCE,
}
#: Values of the setting `group` of a request class.
DEDUPE_SCOPE_BY_NAME = {
    "all": api.DedupeScope.ALL,
    "zone": api.DedupeScope.ZONE,
    "cell": api.DedupeScope.CELL,
}
#: Values of the setting `how` in the object `report`.
LOAD_REPORTING_BY_NAME = {
    "piggyback": api.LoadReporting.IN_RESPONSES,
    "pull": api.LoadReporting.BY_PROBE,
    "silent": api.LoadReporting.NONE,
}
#: Values of the setting `weightSource`.
WEIGHT_SOURCE_BY_NAME = {
    "silent": api.WeightSource.NONE,
    "nominal": api.WeightSource.REGISTERED,
    "rough": api.WeightSource.APPROXIMATE,
    "live": api.WeightSource.LIVE,
}
#: Names of load report fields in the settings, mapped to the names in `Settings.load_report_fields`.
REPORT_FIELD_BY_NAME = {
    "busy_reqs": "in_flight",
    "pending": "queue",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}

#: Default that marks a field as required.
_REQUIRED = object()


# Each of these functions reads one field. A field whose value is null is treated as absent.


def _number(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> float:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return float(default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{name} must be a number, not {value!r}")
    return float(value)


def _integer(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> int:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return int(default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise DecodeError(f"{name} must be an integer, not {value!r}")
    return value


def _string(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> str:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return str(default)
    if not isinstance(value, str):
        raise DecodeError(f"{name} must be a string, not {value!r}")
    return value


def _boolean(fields: Mapping[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise DecodeError(f"{name} must be a boolean, not {value!r}")
    return value


def _enum_value(
    table: Mapping[Any, Any], fields: Mapping[str, Any], name: str, default: Any = _REQUIRED,
) -> Any:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return default
    if isinstance(value, bool) or not isinstance(value, str | int) or value not in table:
        raise DecodeError(f"{name}: unknown value {value!r}")
    return table[value]


def _object(fields: Mapping[str, Any], name: str) -> JsonObject:
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise DecodeError(f"{name} must be an object, not {value!r}")
    return value


def _object_list(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> list[JsonObject]:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return list(default)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise DecodeError(f"{name} must be an array of objects")
    return value


def _string_list(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise DecodeError(f"{name} must be an array of strings, not {value!r}")
    return tuple(value)


def _load_report(fields: Mapping[str, Any]) -> tuple[float, ...] | None:
    value = fields.get("metrics")
    if value is None:
        return None
    if not isinstance(value, list):
        raise DecodeError(f"metrics must be an array of numbers, not {value!r}")
    for item in value:
        if isinstance(item, bool) or not isinstance(item, int | float):
            raise DecodeError(f"metrics must contain only numbers, not {item!r}")
    return tuple(value)


def decode_settings(fields: JsonObject) -> api.Settings:
    """Decode a settings object, from the configuration file or from a `Born` event."""
    report, family = _object(fields, "report"), _object(fields, "familyInfo")
    tiers, zones = _string_list(fields, "tiers"), _string_list(fields, "zones")
    return api.Settings(
        zone=_string(fields, "zone"),
        zone_count=max(1, len(zones)),
        zone_names=zones,
        tier=_integer(fields, "tier", 0),
        tier_count=max(1, len(tiers)),
        tier_names=tiers,
        balancer_count=_integer(fields, "nInstances", 1),
        balancer_index=_integer(fields, "me", 0),
        min_event_interval_ms=_number(fields, "quantumMs", 0.0),
        domain=_string(fields, "domainType", ""),
        machine_types=_string_list(fields, "models"),
        weight_source=_enum_value(WEIGHT_SOURCE_BY_NAME, fields, "weightSource", api.WeightSource.REGISTERED),
        worth_per_work_unit=_string(fields, "countedBy", "request") == "work",
        polled_discovery=_string(fields, "discovery", "push") == "ask",
        propagates_deadline=_boolean(family, "passesDeadline"),
        warm_keys=_boolean(family, "warmKeys"),
        clients_mark_retries=_boolean(_object(fields, "clients"), "marksRetry"),
        over_quota_worth_factor=_number(fields, "overShareWorth", 1.0),
        load_report_fields=tuple(
            REPORT_FIELD_BY_NAME.get(name, name) for name in _string_list(report, "fields")
        ),
        load_reporting=_enum_value(LOAD_REPORTING_BY_NAME, report, "how", api.LoadReporting.NONE),
        classes=tuple(_decode_request_class(profile) for profile in _object_list(fields, "profiles")),
        tenants=tuple(
            api.Tenant(
                _string(party, "name"), _number(party, "quotaPerS", 0.0), _number(party, "portion", 0.0)
            )
            for party in _object_list(fields, "parties", ())
        ),
        limits=_decode_limits(_object(fields, "bounds")),
        rules=_decode_rules(_object(fields, "contract")),
        score_costs=_decode_score_costs(_object(fields, "prices")),
        score_weights=_decode_score_weights(_object(fields, "goal")),
    )


def _decode_request_class(fields: JsonObject) -> api.RequestClass:
    return api.RequestClass(
        name=_string(fields, "name"),
        aim_ms=_number(fields, "aimMs"),
        deadline_ms=_number(fields, "deadlineMs"),
        idempotency=_enum_value(IDEMPOTENCY_BY_NAME, fields, "idempotency"),
        dedupe_scope=_enum_value(DEDUPE_SCOPE_BY_NAME, fields, "group", api.DedupeScope.ALL),
        dedupe_window_ms=_number(fields, "windowMs", 0.0),
        worth=_number(fields, "worth", 1.0),
        late_worth_fraction=_number(fields, "lateValue", 0.0),
        ordered_by_key=_boolean(fields, "fifoByKey"),
        stream=_boolean(fields, "stream"),
        aim_per_work=_number(fields, "aimStretch", 0.0),
    )


def _decode_limits(fields: JsonObject) -> api.Limits:
    return api.Limits(
        max_attempts=_integer(fields, "mostTries", 1),
        concurrent_attempts=_boolean(fields, "secondCopies"),
        cancel=_boolean(fields, "cancel"),
        probes=_boolean(fields, "probes"),
        retry_after=_boolean(fields, "retryAfter"),
        max_retry_after_ms=_number(fields, "maxRetryAfterMs", 0.0),
        peer_messages=_boolean(fields, "peerMessages"),
        max_concurrent_requests=_integer(fields, "openCap", 0),
        max_concurrent_streams=_integer(fields, "multiplex", 1),
        idle_timeout_ms=_number(fields, "connIdleMs", 0.0),
        connect_timeout_ms=_number(fields, "connectTimeoutMs", 0.0),
        cpu_us_per_s=_number(fields, "cpuUsPerS", 0.0),
        cpu_us_per_request=_number(fields, "cpuUsPerRequest", 0.0),
    )


def _decode_rules(fields: JsonObject) -> api.Rules:
    return api.Rules(
        response_grace_ms=_number(fields, "graceToAnswerMs", 0.0),
        drain_grace_ms=_number(fields, "stopSendingWithinMs", 1000.0),
        slow_start_share=_number(fields, "coldShare", 1.0),
        warm_up_ms=_number(fields, "warmAfterMs", 0.0),
        cold_overload_factor=_number(fields, "tipMultiple", 3.0),
        cold_overload_window_ms=_number(fields, "overloadForMs", 2000.0),
        poll_interval_ms=_number(fields, "askEveryMs", 10000.0),
        key_cooldown_ms=_number(fields, "turnGapMs", 0.0),
    )


def _decode_score_costs(fields: JsonObject) -> api.ScoreCosts:
    return api.ScoreCosts(
        cross_zone=_number(fields, "crossZone", 0.0),
        waste=_number(fields, "waste", 0.0),
        late_failure=_number(fields, "lateFail", 0.0),
        probe=_number(fields, "probe", 0.0),
        handshake=_number(fields, "handshake", 0.0),
        connection=_number(fields, "connection", 0.0),
        discovery=_number(fields, "discovery", 0.0),
        fleet=_number(fields, "fleet", 0.0),
        moves=_number(fields, "moves", 0.0),
        origin=_number(fields, "origin", 0.0),
        peer=_number(fields, "peer", 0.0),
    )


def _decode_score_weights(fields: JsonObject) -> api.ScoreWeights:
    return api.ScoreWeights(
        overall=_number(fields, "whole", 1.0),
        worst_window=_number(fields, "worstWindow", 0.0),
        worst_class=_number(fields, "worstClass", 0.0),
        worst_tenant=_number(fields, "worstTenant", 0.0),
    )


def decode_endpoints(entries: list[JsonObject]) -> tuple[api.Endpoint, ...]:
    """Decode the entries of an endpoint list."""
    return tuple(
        api.Endpoint(
            id=_string(entry, "backend"),
            zone=_string(entry, "locality", ""),
            state=_enum_value(ENDPOINT_STATE_BY_NAME, entry, "status"),
            cell=_integer(entry, "bay", 0),
            started_ms=_number(entry, "upSinceMs", 0.0) or None,
            weight=_number(entry, "nominal", 1.0),
            machine_type=_string(entry, "familyType", ""),
        )
        for entry in entries
    )


def _decode_request_arrived(fields: JsonObject) -> api.Event:
    tenant = fields.get("team")
    return api.RequestArrived(
        _string(fields, "ref"),
        _string(fields, "kind"),
        _number(fields, "remainingMs"),
        tenant if isinstance(tenant, str) else "",
        _boolean(fields, "resent"),
        _string(fields, "entity", ""),
        _boolean(fields, "isWrite"),
        _number(fields, "workHintMs") if fields.get("workHintMs") is not None else None,
    )


def _decode_response_started(fields: JsonObject) -> api.Event:
    return api.ResponseStarted(
        _string(fields, "ref"),
        _integer(fields, "shot"),
        _string(fields, "backend", ""),
        _number(fields, "waitTimeMs", 0.0),
    )


def _decode_peer_message(fields: JsonObject) -> api.Event:
    try:
        payload = bytes.fromhex(_string(fields, "bytes", ""))
    except ValueError:
        raise DecodeError(f"bytes must be hexadecimal digits, not {fields['bytes']!r}") from None
    return api.PeerMessage(_integer(fields, "sender"), payload)


def _decode_attempt_ended(fields: JsonObject) -> api.Event:
    return api.AttemptEnded(
        _string(fields, "ref"),
        _integer(fields, "shot"),
        _enum_value(OUTCOME_BY_CODE, fields, "how"),
        _number(fields, "waitTimeMs"),
        _boolean(fields, "complete"),
        _load_report(fields),
        _string(fields, "backend", ""),
    )


def _decode_probe_ended(fields: JsonObject) -> api.Event:
    outcome = _enum_value(OUTCOME_BY_CODE, fields, "how")
    return api.ProbeEnded(
        _string(fields, "backend"), outcome, _number(fields, "waitTimeMs"), _load_report(fields))


#: Decoders of the events that are passed to a running balancer as they are, by the name of the event.
#: The simulator adapter handles `Ledger`, `Membership`, `Born` and `Exit` itself, because they depend on its
#: endpoint lists or start and stop a balancer.
EVENT_DECODERS: dict[str, Callable[[JsonObject], api.Event]] = {
    "WorkItem": _decode_request_arrived,
    "Ended": _decode_attempt_ended,
    "Opened": _decode_response_started,
    "Expired": lambda fields: api.RequestAbandoned(_string(fields, "ref")),
    "Wake": lambda fields: api.TimerFired(_string(fields, "ctx")),
    "Probed": _decode_probe_ended,
    "Mail": _decode_peer_message,
}

#: The name of each action and an encoder of its fields. The simulator adapter adds the field `who`.
ACTION_ENCODERS: dict[type, tuple[str, Callable[[Any], JsonObject]]] = {
    api.Send: (
        "Transmit",
        lambda action: {
            "ref": action.request, "timeoutMs": action.timeout_ms, "backend": action.endpoint,
        },
    ),
    api.Cancel: ("DropAttempt", lambda action: {"ref": action.request, "shot": action.attempt}),
    api.Refuse: (
        "Deny",
        lambda action: {"ref": action.request, "comeBackMs": action.retry_after_ms or None},
    ),
    api.Fail: ("RespondError", lambda action: {"ref": action.request}),
    api.Probe: ("Inspect", lambda action: {"backend": action.endpoint}),
    api.SetTimer: ("WakeMe", lambda action: {"fireAtMs": action.at_ms, "ctx": action.token}),
    api.WatchEndpoints: ("Observe", lambda action: {"want": True}),
    api.FetchEndpoints: ("Fetch", lambda action: {}),
    api.CloseIdleConnections: ("LetGo", lambda action: {"backend": action.endpoint}),
    api.Log: ("SayLog", lambda action: {"words": action.message}),
}


def integer_field(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> int:
    """Return an integer field, which is required unless a default is given."""
    return _integer(fields, name, default)


def number_field(fields: Mapping[str, Any], name: str) -> float:
    """Return a required number field."""
    return _number(fields, name)


def decode_list_kind(fields: Mapping[str, Any]) -> api.ListKind:
    """Decode the kind of a `Membership` event."""
    kind: api.ListKind = _enum_value(LIST_KIND_BY_CODE, fields, "kind")
    return kind


def decode_ledger(fields: Mapping[str, Any]) -> tuple[api.Endpoint, ...]:
    """Decode the endpoint list that a `Ledger` event carries."""
    return decode_endpoints(_object_list(fields, "members"))


def decode_born_settings(fields: Mapping[str, Any]) -> api.Settings:
    """Decode the settings that a `Born` event carries."""
    settings = fields.get("settings")
    if not isinstance(settings, dict):
        raise DecodeError("settings must be an object")
    return decode_settings(settings)
