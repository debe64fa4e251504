"""Settings of the deployments in the cases 6 to 10, with the names and figures of their site files."""

from __future__ import annotations

from typing import Any

ZONES = ["krakow-a", "krakow-b", "tarnow", "wieliczka"]


def _class(
    name: str, effect: str, aim_ms: float, deadline_ms: float, worth: float, group: str, window_ms: float,
) -> dict[str, Any]:
    return {
        "name": name, "idempotency": effect, "aimMs": aim_ms, "deadlineMs": deadline_ms, "worth": worth,
        "lateValue": 0.25, "group": group, "windowMs": window_ms, "stream": False}


def _settings(
    discovery: str, tries: int, drain_grace_ms: float, fall_ms: float, connect_ms: float, proxies: int,
    classes: list[dict[str, Any]],
) -> dict[str, Any]:
    return {
        "bounds": {
            "cancel": True, "connIdleMs": 5000.0, "connectTimeoutMs": connect_ms, "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 800000, "maxRetryAfterMs": 1000.0, "mostTries": tries, "multiplex": 1,
            "openCap": 20000, "peerMessages": False, "probes": discovery == "ask", "retryAfter": True,
            "secondCopies": False},
        "clients": {"marksRetry": True},
        "contract": {
            "askEveryMs": 10000.0, "coldShare": 0.12, "graceToAnswerMs": 20.0, "overloadForMs": fall_ms,
            "stopSendingWithinMs": drain_grace_ms, "tipMultiple": 3.0, "warmAfterMs": 24000.0},
        "countedBy": "work", "discovery": discovery, "domainType": "chain",
        "familyInfo": {"passesDeadline": True},
        "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
        "me": 0, "models": ["kasa-duzy", "kasa-maly"], "nInstances": proxies, "overShareWorth": 0.1,
        "parties": [],
        "prices": {"crossZone": 0.04, "lateFail": 0.15, "probe": 0.0077, "waste": 0.05},
        "profiles": classes, "quantumMs": 5.0, "report": {"fields": [], "how": "silent"},
        "tier": 0, "tiers": ["kasa", "rozliczenia"], "weightSource": "nominal", "zone": ZONES[0],
        "zones": ZONES}


def targ_krakow(proxies: int) -> dict[str, Any]:
    """Return the settings of the deployment `targ-krakow` for this many proxies."""
    return _settings("ask", 6, 250.0, 2000.0, 100.0, proxies, [
        _class("sprzedaz", "by_key", 500.0, 2000.0, 10.0, "all", 3000.0),
        _class("platnosc", "once", 600.0, 1500.0, 30.0, "all", 5000.0)])


def push_market(proxies: int) -> dict[str, Any]:
    """Return the settings of the deployment `push-market` for this many proxies."""
    return _settings("push", 5, 400.0, 2500.0, 150.0, proxies, [
        _class("list", "repeatable", 400.0, 1000.0, 2.0, "all", 0.0),
        _class("offer", "by_key", 700.0, 2500.0, 3.0, "cell", 2000.0),
        _class("pledge", "once", 600.0, 1500.0, 5.0, "all", 0.0)])
