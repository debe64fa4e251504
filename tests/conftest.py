"""Pytest configuration: expects the known failures, and disables the proxy's second connect attempt.

KNOWN-RED.txt lists the known failures, which are the tests that fail because of a known fault. A test run
prints them and does not fail because of them. Each line of the file reads `test | cause | issue`, where
`test` is a pytest node id, or a command that is run by hand. At most three pytest node ids are allowed.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from honeywharf.net import backend, connect_times

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def read_known_failures() -> dict[str, str]:
    """Return the cause and issue of each listed test, by node id."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_FAILURES_FILE.read_text().splitlines()]
    reasons = {}
    for line in filter(None, lines):
        test, cause, issue = (part.strip() for part in line.split("|"))
        reasons[test] = f"{cause}, {issue}"
    tests = [test for test in reasons if ".py::" in test]
    if len(tests) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists {len(tests)} tests, but at most {MAX_KNOWN_FAILURES} are allowed")
    return reasons


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures and print them."""
    reasons = read_known_failures()
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=False))
    terminal = config.pluginmanager.get_plugin("terminalreporter")
    if terminal is not None:
        for test, reason in reasons.items():
            terminal.write_line(f"known failure: {test}: {reason}")


@pytest.fixture(autouse=True)
def disable_second_connections(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop the proxy from opening a second connection when the first one is slow to connect.

    In production, the proxy opens a second connection after 10 ms at the earliest. A loaded machine can delay
    a connection by more than that, and many tests count connections. Only the tests in
    test_slow_connections.py keep this minimum of 10 ms, because they control how long connections take.
    """
    if request.module.__name__ != "tests.test_slow_connections":
        monkeypatch.setattr(connect_times, "MIN_SLOW_THRESHOLD_MS", 60_000.0)


@pytest.fixture
def disable_response_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an incomplete response wait for as long as its request: a loaded machine can delay its end."""
    monkeypatch.setattr(backend, "RESPONSE_READ_TIMEOUT_S", 60.0)
    monkeypatch.setattr(backend, "RESPONSE_TIMEOUT_S", 60.0)
