"""What holds for all tests: those that fail for a known fault, and connections that no loaded machine delays.

KNOWN-RED.txt lists the tests that fail for a known fault; a run passes over just these and prints them. A
line of the file is `test | cause | issue`, with the test's node id; three lines at most.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from honeywharf.net import connect_times

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def known_red() -> dict[str, str]:
    """The listed tests by node id, each with its cause and issue."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_FILE.read_text().splitlines()]
    listed = {}
    for line in filter(None, lines):
        test, cause, issue = (part.strip() for part in line.split("|"))
        listed[test] = f"{cause}, {issue}"
    if len(listed) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(listed)} tests, {MAX_KNOWN_RED} at most may be")
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the listed tests run and fail; print them."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=False))
    terminal = config.pluginmanager.get_plugin("terminalreporter")
    if terminal is not None:
        for test, why in listed.items():
            terminal.write_line(f"known red: {test}: {why}")


@pytest.fixture(autouse=True)
def ordinary_connections_are_in_time(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have no further connection dialled beside one that a loaded machine delays for over 10 ms.

    Tests of other things count connections. Those of late connections, in test_dialing.py, set the delays
    themselves and keep the real patience.
    """
    if request.module.__name__ != "tests.test_dialing":
        monkeypatch.setattr(connect_times, "LEAST_PATIENCE_MS", 60_000.0)
