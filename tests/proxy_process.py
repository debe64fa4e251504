"""Runs the proxy as a separate process, for the tests that need a real one."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.proxy_harness import SETTINGS, WAIT_TIMEOUT_S, discovery_entry

REPOSITORY_ROOT = Path(__file__).parent.parent


def write_config(directory: Path, **changes: Any) -> dict[str, str]:
    """Write a configuration file, and return environment variables with NODE_CONFIG set to its path.

    `changes` replaces top-level keys of the configuration.
    """
    configuration = {
        "name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [discovery_entry("b", 1)]}, **changes,
    }
    file = directory / "config.json"
    file.write_text(json.dumps(configuration))
    return {**os.environ, "NODE_CONFIG": str(file)}


class ProxyProcess:
    """A listening proxy process, killed at the end of its `with` block.

    `changes` replaces top-level keys of its configuration. The key `descriptors` is not
    one of these: it limits the process's open files.
    """

    def __init__(self, directory: Path, **changes: Any) -> None:
        descriptors = changes.pop("descriptors", 1024)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "honeywharf"], cwd=REPOSITORY_ROOT, stderr=subprocess.PIPE, text=True,
            env=write_config(directory, **changes),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)))
        assert self.process.stderr is not None
        while not (line := self.process.stderr.readline()).startswith("n listens on 127.0.0.1:"):
            assert line, "the process ended before it listened"
        self.port = int(line.rpartition(":")[2])

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.port), WAIT_TIMEOUT_S)
        connection.settimeout(WAIT_TIMEOUT_S)
        return connection

    def get(self, path: str = "/health/ready") -> bytes:
        with self.connect() as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())
            return connection.recv(4096)

    def peak_memory_bytes(self) -> int:
        """Return the most memory that the process has held so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def __enter__(self) -> ProxyProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.communicate()
