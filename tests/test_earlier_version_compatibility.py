"""Names and formats on all external interfaces are those of an earlier version of the program.

`data/earlier_version.json` was recorded from that version: its configuration file, what it exchanged with a
client, a backend and discovery, the metrics that it logged, and a session of the simulator adapter. The test
replays the recorded input and compares the output, in which varying numbers are masked.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import re
import sys
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from honeywharf import codec
from honeywharf.simulator_adapter import SimulatorAdapter
from tests.proxy_harness import WAIT_TIMEOUT_S, run_test

REPOSITORY_ROOT = Path(__file__).parent.parent
RECORDING: dict[str, Any] = json.loads((Path(__file__).parent / "data" / "earlier_version.json").read_text())
METRIC_LINES = ("stats", "list", "zones")
#: Fields of the simulator adapter's actions whose values depend on the policy and on random numbers.
MASKED_ACTION_FIELDS = ("timeoutMs", "comeBackMs", "fireAtMs")


@dataclass
class Exchange:
    """What one run of the proxy exchanged with a client, a backend and discovery, with numbers masked."""

    polls: list[str] = field(default_factory=list)
    backend_requests: list[str] = field(default_factory=list)
    client_responses: list[str] = field(default_factory=list)
    metrics: dict[str, list[str]] = field(default_factory=dict)


def mask_varying(text: bytes) -> str:
    """Replace the ports and times that differ between two runs."""
    masked = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text.decode())
    masked = re.sub(r"X-Time-Left: \d+u", "X-Time-Left: TIME", masked)
    return re.sub(r"wait_ms=[1-9]\d*", "wait_ms=TIME", masked)


def masked_metrics(line: str) -> list[str]:
    """Return the items `name=value` of a metric line with numbers masked, in their order.

    Two items depend on the load of the machine and are left out: the item for the poll in flight, which
    is not of the form `name=value`, and `late_connections`, the number of slow connects.
    """
    items = [item for item in line.split()[1:] if "=" in item and not item.startswith("late_connections=")]
    return [re.sub(r"\d+(\.\d+)?", "N", item) for item in items]


async def read_message(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return head + (await reader.readexactly(int(length[1])) if length is not None else b"")


async def serve(messages: list[str], responses: list[str]) -> asyncio.Server:
    """Serve recorded responses in turn, and keep the requests; after the last response, requests hang."""
    remaining = list(responses)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                messages.append(mask_varying(await read_message(reader)))
                if remaining:
                    writer.write(remaining.pop(0).encode())
        writer.close()

    return await asyncio.start_server(handle, "127.0.0.1", 0)


def listening_port(server: asyncio.Server) -> int:
    port: int = server.sockets[0].getsockname()[1]
    return port


async def run_exchange(recording: dict[str, Any], directory: Path, root: Path = REPOSITORY_ROOT) -> Exchange:
    """Run the proxy of `root` on the recorded configuration and input, until it has logged its metrics."""
    exchange = Exchange()
    backend = await serve(exchange.backend_requests, recording["backend_responses"])
    addresses = {"BACKEND": f"127.0.0.1:{listening_port(backend)}"}
    body = json.dumps(recording["endpoint_list"]).replace("BACKEND", addresses["BACKEND"])
    poll_response = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    discovery = await serve(exchange.polls, [poll_response])
    addresses["DISCOVERY"] = f"127.0.0.1:{listening_port(discovery)}"
    configuration = json.dumps(recording["configuration"])
    for name, address in addresses.items():
        configuration = configuration.replace(name, address)
    file = directory / "config.json"
    file.write_text(configuration)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "honeywharf", cwd=root, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "NODE_CONFIG": str(file)})
    assert process.stderr is not None
    try:
        line = (await process.stderr.readline()).decode()
        assert line.startswith(f"{recording['configuration']['name']} listens on 127.0.0.1:")
        port = int(line.rpartition(":")[2])
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(exchange.polls) < 2:  # The second poll shows that the first response has been applied.
                await asyncio.sleep(0.005)
            for request in recording["client_requests"]:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request.encode())
                exchange.client_responses.append((await read_message(reader)).decode())
                writer.close()
            while len(exchange.metrics) < len(METRIC_LINES):
                line = (await process.stderr.readline()).decode()
                assert line, "the proxy ended before it logged its metrics"
                if line.startswith(METRIC_LINES):
                    exchange.metrics[line.split()[0]] = masked_metrics(line)
    finally:
        process.kill()
        await process.wait()
        backend.close()
        discovery.close()
    return exchange


def setting_paths(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the path of each key in the nested settings."""
    if isinstance(value, dict):
        for key, nested in value.items():
            yield (*path, key)
            yield from setting_paths(nested, (*path, key))
    elif isinstance(value, list):
        for index, nested in enumerate(value):
            yield from setting_paths(nested, (*path, index))


def mask_actions(reply: Any) -> Any:
    """Mask the numbers of a reply of the simulator adapter that the policy may change."""
    for action in reply["output"]:
        for fields in action.values():
            for name in MASKED_ACTION_FIELDS:
                if fields.get(name) is not None:
                    fields[name] = "NUMBER"
    return reply


def test_the_proxy_exchanges_the_same_messages_and_metrics_on_the_same_configuration(tmp_path: Path) -> None:
    exchange = run_test(run_exchange(RECORDING, tmp_path))
    assert exchange.polls[:2] == RECORDING["polls"]
    assert exchange.backend_requests == RECORDING["backend_requests"]
    assert exchange.client_responses == RECORDING["client_responses"]
    assert exchange.metrics == RECORDING["metrics"]


@pytest.mark.parametrize("path", list(setting_paths(RECORDING["configuration"]["settings"])))
def test_each_recorded_setting_is_read(path: tuple[str | int, ...]) -> None:
    """A value of the wrong type is an error only if the program reads the setting of this name."""
    settings = copy.deepcopy(RECORDING["configuration"]["settings"])
    codec.decode_settings(settings)
    group = settings
    for part in path[:-1]:
        group = group[part]
    group[path[-1]] = 5 if isinstance(group[path[-1]], dict | str | bool | list) else "text"
    with pytest.raises(codec.DecodeError, match=str(path[-1])):
        codec.decode_settings(settings)


def test_the_simulator_adapter_gives_the_same_actions_on_the_same_events() -> None:
    adapter = SimulatorAdapter()
    replies = [mask_actions(adapter.handle_batch(batch)) for batch in RECORDING["simulator_batches"]]
    assert replies == RECORDING["simulator_replies"]
