"""Tests that each field of settings, events and endpoints is decoded, and that errors name malformed ones."""

from __future__ import annotations

from typing import Any

import pytest

from honeywharf import codec, interface as api

SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True, "connIdleMs": 5000.0, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 3.5,
        "cpuUsPerS": 900, "maxRetryAfterMs": 2000.0, "mostTries": 4, "multiplex": 2, "openCap": 77,
        "peerMessages": True, "probes": True, "retryAfter": True, "secondCopies": True,
    },
    "clients": {"marksRetry": True},
    "contract": {
        "askEveryMs": 9000.0, "coldShare": 0.15, "graceToAnswerMs": 20.0, "overloadForMs": 1000.0,
        "stopSendingWithinMs": 500.0, "tipMultiple": 4.0, "turnGapMs": 120.0, "warmAfterMs": 24000.0,
    },
    "countedBy": "work", "discovery": "ask", "domainType": "chain",
    "familyInfo": {"passesDeadline": True, "warmKeys": True},
    "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3},
    "me": 3, "models": ["fast", "slow"], "nInstances": 10, "overShareWorth": 0.05,
    "parties": [{"name": "p", "quotaPerS": 12.0, "portion": 0.4}],
    "prices": {
        "connection": 0.1, "crossZone": 0.2, "discovery": 0.3, "fleet": 0.4, "handshake": 0.5,
        "lateFail": 0.6, "moves": 0.7, "origin": 0.8, "peer": 0.9, "probe": 1.0, "waste": 1.1,
    },
    "profiles": [{
        "aimMs": 100.0, "aimStretch": 1.5, "deadlineMs": 600.0, "fifoByKey": True, "group": "zone",
        "idempotency": "by_key", "lateValue": 0.3, "name": "c", "windowMs": 50.0, "worth": 12.0,
    }],
    "quantumMs": 5.0, "report": {"fields": ["served_ps", "failed_ps", "cpu_share"], "how": "pull"},
    "tier": 1, "tiers": ["t", "u"], "weightSource": "rough", "zone": "a", "zones": ["a", "b"],
}


def test_every_setting_is_decoded() -> None:
    assert codec.decode_settings(SETTINGS) == api.Settings(
        zone="a", zone_count=2, zone_names=("a", "b"), tier=1, tier_count=2, tier_names=("t", "u"),
        balancer_count=10, balancer_index=3, min_event_interval_ms=5.0, domain="chain",
        machine_types=("fast", "slow"), weight_source=api.WeightSource.APPROXIMATE, worth_per_work_unit=True,
        polled_discovery=True, propagates_deadline=True, warm_keys=True, clients_mark_retries=True,
        over_quota_worth_factor=0.05, load_report_fields=("served_per_s", "errors_per_s", "utilization"),
        load_reporting=api.LoadReporting.BY_PROBE,
        classes=(api.RequestClass(
            "c", 100.0, 600.0, api.Idempotency.KEYED, api.DedupeScope.ZONE, 50.0, 12.0, 0.3,
            ordered_by_key=True, aim_per_work=1.5),),
        tenants=(api.Tenant("p", 12.0, 0.4),),
        limits=api.Limits(
            max_attempts=4, concurrent_attempts=True, cancel=True, probes=True, retry_after=True,
            max_retry_after_ms=2000.0, peer_messages=True, max_concurrent_requests=77,
            max_concurrent_streams=2, idle_timeout_ms=5000.0, connect_timeout_ms=250.0,
            cpu_us_per_s=900.0, cpu_us_per_request=3.5),
        rules=api.Rules(
            response_grace_ms=20.0, drain_grace_ms=500.0, slow_start_share=0.15, warm_up_ms=24000.0,
            cold_overload_factor=4.0, cold_overload_window_ms=1000.0, poll_interval_ms=9000.0,
            key_cooldown_ms=120.0),
        score_costs=api.ScoreCosts(
            cross_zone=0.2, waste=1.1, late_failure=0.6, probe=1.0, handshake=0.5, connection=0.1,
            discovery=0.3, fleet=0.4, moves=0.7, origin=0.8, peer=0.9),
        score_weights=api.ScoreWeights(overall=0.6, worst_window=0.3, worst_class=0.2, worst_tenant=0.1),
    )


def test_absent_settings_take_defaults_and_unknown_ones_are_ignored() -> None:
    settings = codec.decode_settings({
        "zone": "a", "novelty": 1,
        "profiles": [{"name": "c", "aimMs": 1, "deadlineMs": 2, "idempotency": "once"}]})
    assert settings == api.Settings(
        zone="a", classes=(api.RequestClass("c", 1.0, 2.0, api.Idempotency.ONCE),),
        limits=api.Limits(max_attempts=1), rules=api.Rules(poll_interval_ms=10000.0),
        # The JSON omits booleans that are false, so an absent one is false.
        propagates_deadline=False)


@pytest.mark.parametrize(("name", "fields", "event"), [
    ("WorkItem", {"ref": "q", "kind": "c", "remainingMs": 5, "entity": "k", "resent": True, "isWrite": True,
                  "team": "p", "workHintMs": 2},
     api.RequestArrived("q", "c", 5.0, "p", True, "k", True, 2.0)),
    # The team 0 stands for no tenant.
    ("WorkItem", {"ref": "q", "kind": "c", "remainingMs": 5, "team": 0}, api.RequestArrived("q", "c", 5.0)),
    ("Ended", {"ref": "q", "shot": 1, "backend": "b", "how": 598, "waitTimeMs": 2, "metrics": [1, 2]},
     api.AttemptEnded("q", 1, api.Outcome.RESET, 2.0, False, (1, 2), "b")),
    ("Opened", {"ref": "q", "shot": 1, "backend": "b", "waitTimeMs": 2},
     api.ResponseStarted("q", 1, "b", 2.0)),
    ("Probed", {"backend": "b", "how": 502, "waitTimeMs": 2},
     api.ProbeEnded("b", api.Outcome.CONNECT_FAILED, 2.0)),
    ("Mail", {"sender": 4, "bytes": "6869"}, api.PeerMessage(4, b"hi")),
    ("Wake", {"ctx": "turn"}, api.TimerFired("turn")),
    ("Expired", {"ref": "q"}, api.RequestAbandoned("q")),
])
def test_every_event_field_is_decoded(name: str, fields: dict[str, Any], event: api.Event) -> None:
    assert codec.EVENT_DECODERS[name](fields) == event


def test_every_endpoint_field_is_decoded() -> None:
    entry = {"familyType": "fast", "nominal": 1.5, "bay": 2, "locality": "b", "status": "draining",
             "backend": "x", "upSinceMs": 6100.0}
    assert codec.decode_endpoints([entry]) == (
        api.Endpoint("x", "b", api.EndpointState.DRAINING, 2, 6100.0, 1.5, "fast"),)


@pytest.mark.parametrize(("changes", "expected_error"), [
    ({"profiles": [{**SETTINGS["profiles"][0], "fifoByKey": 1}]}, "fifoByKey"),
    ({"tiers": "t"}, "tiers"), ({"weightSource": "odd"}, "weightSource"),
    ({"bounds": {"mostTries": "4"}}, "mostTries"), ({"goal": []}, "goal"),
])
def test_a_malformed_setting_is_named_in_the_error(changes: dict[str, Any], expected_error: str) -> None:
    with pytest.raises(codec.DecodeError, match=expected_error):
        codec.decode_settings({**SETTINGS, **changes})


@pytest.mark.parametrize(("changes", "expected_error"), [
    ({"profiles": [{**SETTINGS["profiles"][0], "stream": True}]}, "a stream cannot be ordered by key"),
    ({"zone": "z"}, "local zone is not among the zones"), ({"tier": 2}, "tier index must be below"),
    ({"contract": {"turnGapMs": -1.0}}, "key cooldown, is negative"),
    ({"me": -1}, "balancer index, is negative"),
])
def test_settings_that_fail_validation_are_rejected(changes: dict[str, Any], expected_error: str) -> None:
    with pytest.raises(ValueError, match=expected_error):
        codec.decode_settings({**SETTINGS, **changes})
