"""Tests of the simulator adapter, most of them through the standard input and output of a real process."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from honeywharf import interface as api, simulator_adapter

ROOT = Path(__file__).parent.parent
# The adapter must ignore unknown fields, such as `surprise` here and `novelty` in the WorkItem events below.
SETTINGS: dict[str, Any] = {
    "bounds": {"mostTries": 3, "cancel": True, "secondCopies": False, "cpuUsPerS": 1},
    "contract": {"coldShare": 0.3, "warmAfterMs": 8500.0, "graceToAnswerMs": 8.0, "askEveryMs": 10000.0},
    "discovery": "push", "familyInfo": {"passesDeadline": True}, "me": 0, "nInstances": 1,
    "profiles": [{"name": "c", "aimMs": 750.0, "deadlineMs": 2000.0, "idempotency": "repeatable"}],
    "prices": {"crossZone": 0.2}, "report": {"fields": ["pending"], "how": "piggyback"},
    "tier": 0, "tiers": ["t"], "zone": "z", "zones": ["z", "y"], "surprise": [1, 2],
}
LEDGER = {"Ledger": {"page": 0, "members": [
    {"backend": "b1", "familyType": "k", "nominal": 1, "bay": 0, "locality": "z", "status": "ready"}]}}


def born_event(balancer_id: int = 0, seed: int = 5) -> dict[str, Any]:
    return {"Born": {"who": balancer_id, "prng": seed, "settings": SETTINGS}}


def membership_event(balancer_id: int = 0) -> dict[str, Any]:
    return {"Membership": {"who": balancer_id, "kind": "C", "serial": 1, "page": 0}}


def work_item(ref: str, balancer_id: int = 0) -> dict[str, Any]:
    return {"WorkItem": {"who": balancer_id, "ref": ref, "kind": "c", "remainingMs": 1000.0, "novelty": 1}}


def batch_line(round_number: int, *events: Any) -> str:
    return json.dumps({"tMs": 100.0 + round_number, "round": round_number, "arrivals": list(events)})


def run_adapter(*lines: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "honeywharf.simulator_adapter"], input="".join(line + "\n" for line in lines),
        cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
    )


def test_each_batch_gets_a_reply_with_its_actions() -> None:
    attempt_ended = {"Ended": {
        "who": 0, "ref": "r1", "shot": 0, "backend": "b1", "how": 200, "waitTimeMs": 2.5, "complete": True,
        "metrics": [1]}}
    result = run_adapter(
        batch_line(1),
        batch_line(2, born_event(), LEDGER, membership_event()),
        batch_line(3, work_item("r1")),
        batch_line(4, attempt_ended),
        batch_line(5, {"Expired": {"who": 0, "ref": "r1"}}, {"Exit": {"who": 0}}, work_item("r2")),
    )
    assert result.returncode == 0, result.stderr
    replies = [json.loads(line) for line in result.stdout.splitlines()]
    assert [reply["round"] for reply in replies] == [1, 2, 3, 4, 5]
    assert replies[2]["output"] == [
        {"Transmit": {"who": 0, "ref": "r1", "timeoutMs": 1000.0, "backend": "b1"}}]
    assert all(not replies[i]["output"] for i in (0, 1, 3, 4))


def test_a_membership_event_refers_to_the_latest_ledger_event_of_its_page() -> None:
    second_ledger = json.loads(json.dumps(LEDGER).replace("b1", "b2"))
    lists_line = batch_line(
        1, born_event(0), born_event(1), LEDGER, membership_event(0), second_ledger, membership_event(1))
    result = run_adapter(lists_line, batch_line(2, work_item("r", 0), work_item("s", 1)))
    sent = [action["Transmit"]["backend"] for action in json.loads(result.stdout.splitlines()[1])["output"]]
    assert sent == ["b1", "b2"]


@pytest.mark.parametrize(("line", "expected_error"), [
    ("{not json", "JSON"),
    ("[]", "a batch must be an object"),
    (batch_line(7, {"Nonsense": {"who": 0}}), "round 7: Nonsense: unknown event"),
    (batch_line(7, {"WorkItem": {"who": 0, "kind": "c", "remainingMs": 5}}), "round 7: WorkItem: ref"),
    (batch_line(7, {"WorkItem": {"who": "0", "ref": "r", "kind": "c", "remainingMs": 5}}), "WorkItem: who"),
    (batch_line(7, {"WorkItem": {"who": 0, "ref": "r", "kind": "c", "remainingMs": "5"}}), "remainingMs"),
    (batch_line(7, born_event(), {"Membership": {"who": 0, "kind": "C", "page": 9}}),
     "page 9 is not defined by an earlier Ledger event"),
    (batch_line(7, {"Ended": {"who": 0, "ref": "r", "shot": 0, "how": 777, "waitTimeMs": 1}}), "how"),
    (batch_line(7, {"Born": {"who": 0, "prng": 1, "settings": {**SETTINGS, "profiles": []}}}),
     "no request class"),
    (json.dumps({"tMs": 1.0, "arrivals": []}), "round"),
])
def test_a_malformed_line_ends_the_process_with_one_error_line(line: str, expected_error: str) -> None:
    result = run_adapter(batch_line(6), line)
    assert result.returncode != 0
    assert len(result.stdout.splitlines()) == 1
    assert expected_error in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_an_exception_in_a_decision_is_reported_as_panic(monkeypatch: pytest.MonkeyPatch) -> None:
    adapter = simulator_adapter.SimulatorAdapter()
    adapter.handle_batch(json.loads(batch_line(1, born_event(), LEDGER, membership_event())))

    def raise_key_error(now_ms: float, event: api.Event) -> list[api.Action]:
        raise KeyError("gone")

    monkeypatch.setattr(adapter.balancers[0], "handle", raise_key_error)
    reply = adapter.handle_batch(json.loads(batch_line(2, work_item("r"))))
    assert reply["output"] == [{"Panic": {"who": 0, "words": "KeyError: 'gone'"}}]


def test_balancers_in_one_process_do_not_affect_each_other() -> None:
    lines = [
        batch_line(1, born_event(0, 5), born_event(1, 6), LEDGER, membership_event(0), membership_event(1)),
        *(batch_line(i, work_item(f"r{i}", i % 2)) for i in range(2, 30))]
    actions_together = [
        action for line in run_adapter(*lines).stdout.splitlines() for action in json.loads(line)["output"]]
    for balancer_id in (0, 1):
        own_lines = []
        for line in lines:
            message = json.loads(line)
            message["arrivals"] = [
                event for event in message["arrivals"]
                if next(iter(event.values())).get("who", balancer_id) == balancer_id]
            own_lines.append(json.dumps(message))
        actions_alone = [
            action for line in run_adapter(*own_lines).stdout.splitlines()
            for action in json.loads(line)["output"]]
        assert actions_alone == [
            action for action in actions_together if next(iter(action.values()))["who"] == balancer_id]
