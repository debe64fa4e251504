"""The acceptance of connections while `accept` fails."""

from __future__ import annotations

from pathlib import Path

import pytest

from soak.shim import build_library
from tests.proxy_process import ProxyProcess


def test_no_connection_is_lost_while_accept_fails_for_moments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients whose connections are closed unanswered as one of them cannot be accepted."""
    monkeypatch.setenv("LD_PRELOAD", str(build_library()))
    for error in ("ENFILE", "EMFILE", "ENOBUFS", "ECONNABORTED", "EPERM"):
        monkeypatch.setenv("SOAK_FAULTS", f"accept:{error}:0.3")
        with ProxyProcess(tmp_path) as proxy:
            for _ in range(60):
                assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
