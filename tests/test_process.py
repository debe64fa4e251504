"""The proxy as a process: configuration, signals, and running out of file descriptors."""

from __future__ import annotations

import errno
import json
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from honeywharf.net import config
from soak.shim import build_library
from tests.proxy_harness import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    discovery_entry,
    run_test,
    synced_proxy,
    wait_until,
)
from tests.proxy_process import REPOSITORY_ROOT, ProxyProcess, write_config


def test_the_configuration_file_is_decoded(tmp_path: Path) -> None:
    loaded = config.load(write_config(tmp_path, listen="127.0.0.2:3000"))
    assert (loaded.listen, loaded.discovery, loaded.max_sockets, loaded.max_memory_bytes) == (
        ("127.0.0.2", 3000), ("127.0.0.1", 1), 1024, 192_000_000)
    assert loaded.seed == 0x8C1F30D27A5BE964
    assert loaded.settings.load_report_fields == ("queue", "in_flight")
    assert loaded.configured_report_names == ("pending", "busy_reqs")


@pytest.mark.parametrize("changes", [
    {"listen": "nowhere"}, {"listen": "127.0.0.1:99999"}, {"discovery": 5}, {"seed": "xyz"}, {"seed": None},
    {"settings": None}, {"settings": {}}, {"settings": {**SETTINGS, "zone": 3}}, {"known": []},
    {"limits": {"sockets": "many"}}, {"limits": {"memory_mb": 0}}, {"limits": {"memory_mb": "all"}},
    {"limits": {"memory_mb": float("inf")}}, {"known": {"generation": 1, "instances": 5}},
    {"settings": {**SETTINGS, "profiles": []}}, {"listen": "192.0.2.1:3000"},
])
def test_an_invalid_configuration_exits_with_status_2(tmp_path: Path, changes: dict[str, Any]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "honeywharf"],
        env=write_config(tmp_path, **changes),
        cwd=REPOSITORY_ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 2
    (line,) = result.stderr.splitlines()
    assert line.startswith("honeywharf: ")


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_a_missing_or_malformed_configuration_is_an_error(tmp_path: Path, text: str | None) -> None:
    file = tmp_path / "c.json"
    if text is not None:
        file.write_text(text)
    for environ in ({"NODE_CONFIG": str(file)}, {}):
        with pytest.raises(config.ConfigError):
            config.load(environ)


def test_the_process_ends_with_status_0_after_sigterm(tmp_path: Path) -> None:
    with ProxyProcess(tmp_path) as proxy:
        assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
        proxy.process.send_signal(signal.SIGTERM)
        assert proxy.process.wait(WAIT_TIMEOUT_S) == 0


def test_a_partially_received_request_completes_when_descriptors_run_out_and_the_listener_recovers(
    tmp_path: Path,
) -> None:
    """With more clients than descriptors, a partial request is completed, and the listener recovers."""
    with ProxyProcess(tmp_path, descriptors=64) as proxy:
        # The request of this client is incomplete, but too recent (MIN_EVICTION_AGE_MS) to be evicted.
        first = proxy.connect()
        first.sendall(b"POST /nowhere HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert first.recv(4096).startswith(b"HTTP/1.1 100 ")
        other_clients = []
        for _ in range(120):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", proxy.port))
            other_clients.append(client)
        first.sendall(b"ok")
        assert first.recv(4096).startswith(b"HTTP/1.1 404 ")
        for client in other_clients:
            client.close()
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        response = b""
        while not response:  # the listener accepts clients again once descriptors are free
            assert time.monotonic() < deadline
            try:
                response = proxy.get("/nowhere")
            except ConnectionError:
                time.sleep(0.01)
        assert response.startswith(b"HTTP/1.1 404 ")
        assert proxy.process.poll() is None
        first.close()


class EmptyDiscovery:
    """A discovery service that answers every poll with an empty endpoint list."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT_TIMEOUT_S)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def answer_poll(self) -> bytes:
        """Answer the first poll on the next connection, and return its request line."""
        connection, _ = self.listener.accept()
        with connection:
            connection.settimeout(WAIT_TIMEOUT_S)
            request_line = connection.recv(4096).split(b"\r\n")[0]
            body = b'{"generation":1,"reset":true,"instances":[]}'
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return request_line


def test_sighup_applies_a_new_discovery_address_and_rejects_an_invalid_file(tmp_path: Path) -> None:
    first, second = EmptyDiscovery(), EmptyDiscovery()
    with ProxyProcess(tmp_path, discovery=first.address) as proxy:
        assert first.answer_poll().startswith(b"GET /registry/instances?after=1&")
        file = tmp_path / "config.json"
        valid, errors = json.loads(file.read_text()), proxy.process.stderr
        assert errors is not None
        for invalid in (
            "{", "[]", json.dumps({**valid, "discovery": "nowhere"}), json.dumps({**valid, "seed": []}),
            json.dumps({**valid, "settings": {**SETTINGS, "zone": 3}}), "\udcff",
        ):
            file.write_bytes(invalid.encode(errors="surrogateescape"))
            proxy.process.send_signal(signal.SIGHUP)
            while not (line := errors.readline()).startswith("reload: "):
                assert line.startswith("discovery: ")
            assert line.endswith("; the current configuration stays\n")
        assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
        for service in (second, first, second):
            file.write_text(json.dumps({**valid, "discovery": service.address}))
            proxy.process.send_signal(signal.SIGHUP)
            # Only one poll is in flight at a time, so at most one of these three polls was sent before the
            # reload; the later ones use the new address.
            lines = [service.answer_poll() for _ in range(3)]
            assert all(line.startswith(b"GET /registry/instances?after=1&wait_ms=") for line in lines)
            assert any(b"&wait_ms=0 " in line for line in lines)  # the first poll at an address does not wait
        proxy.process.send_signal(signal.SIGTERM)
        proxy.process.send_signal(signal.SIGHUP)
        assert proxy.process.wait(WAIT_TIMEOUT_S) == 0
    first.listener.close()
    second.listener.close()


def test_a_system_call_that_fails_for_a_moment_does_not_end_a_process_that_starts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("LD_PRELOAD", str(build_library()))
    monkeypatch.setenv("SOAK_FAULTS", "socket:ENFILE:0.3,socket:ENOBUFS:0.3,bind:EADDRINUSE:0.5")
    for seed in range(1, 6):
        monkeypatch.setenv("SOAK_SEED", str(seed))
        with ProxyProcess(tmp_path) as proxy:
            assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")


def test_a_reload_that_cannot_read_the_file_for_a_moment_is_tried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a proxy that stays with the old address of discovery after one failed read."""
    async def main() -> None:
        async with synced_proxy([]) as harness:
            proxy = harness.proxy
            moved = replace(proxy.configuration, discovery=("127.0.0.1", 1))
            results: list[config.Config | OSError] = [OSError(errno.ENFILE, "table full"), moved]

            def load(_: object, *, with_cached_list: bool) -> config.Config:
                assert not with_cached_list
                result = results.pop(0)
                if isinstance(result, OSError):
                    raise result
                return result

            monkeypatch.setattr(config, "load", load)
            proxy.reload()
            await wait_until(lambda: proxy.discovery_client.address == moved.discovery)
    run_test(main())


def test_reloads_in_a_series_with_a_long_cached_list_keep_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a configuration that is read whole, list and all, for the address of discovery alone."""
    known = {"generation": 1, "reset": True, "instances": [
        discovery_entry(f"backend-{i}", 1000 + i, startedAtMs=1_700_000_000_000 + i) for i in range(4096)]}
    limits = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
    with ProxyProcess(tmp_path, known=known, limits=limits) as proxy:
        for _ in range(20):
            proxy.process.send_signal(signal.SIGHUP)
            assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
        assert proxy.peak_memory_bytes() <= 32_000_000
