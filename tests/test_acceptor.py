"""The acceptance of connections while `accept` fails."""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import ExitStack
from pathlib import Path
from typing import Any, cast

import pytest

from soak.shim import build_library
from tests.proxy_harness import WAIT_TIMEOUT_S, run_test, synced_proxy, wait_until
from tests.proxy_process import ProxyProcess


class FailingListener:
    """A listener whose next calls of `accept` fail with the given errors."""

    def __init__(self, listener: socket.socket, errors: list[int]) -> None:
        self.listener, self.errors = listener, errors

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self.listener.accept()


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


def test_connections_that_wait_at_a_drain_are_served_although_accept_fails() -> None:
    """Guards against a listener that is closed with connections in its queue."""
    async def main() -> None:
        async with synced_proxy([]) as harness:
            acceptor = harness.proxy.frontend.acceptor
            assert acceptor is not None
            errors = [errno.ENFILE, errno.ECONNABORTED, errno.EMFILE]
            acceptor.listener = cast(socket.socket, FailingListener(acceptor.listener, errors))
            with ExitStack() as stack:
                address = ("127.0.0.1", harness.port)
                clients = [stack.enter_context(socket.create_connection(address)) for _ in range(40)]
                for client in clients:
                    client.settimeout(WAIT_TIMEOUT_S)
                    client.sendall(b"GET /nowhere HTTP/1.1\r\n\r\n")
                harness.proxy.frontend.stop_listening()  # before the event loop has accepted any of them
                for client in clients:
                    assert (await asyncio.to_thread(client.recv, 12)).endswith(b"404")
            await wait_until(lambda: acceptor.idle)
            assert errors == []
    run_test(main())
