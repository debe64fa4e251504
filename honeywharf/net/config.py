"""Reads the configuration file of a proxy into typed values."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeywharf import codec, interface as api
from honeywharf.net.passing_errors import PASSING_ERRNOS

Address = tuple[str, int]
MEGABYTE = 1000 * 1000
DEFAULT_MEMORY_MB = 192.0
MAX_MEMORY_MB = 2.0**40  # a larger number is a mistake


class ConfigError(Exception):
    """The configuration is missing or invalid. The message is one line that says why."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a proxy.

    `max_sockets`: how many file descriptors the proxy may open.
    `max_memory_bytes`: how much memory the proxy may hold. Beyond it, the platform kills the process.
    `cached_list`: the endpoint list of the last run, in the form in which discovery sends it.
    `configured_report_names`: the names of the values in a load report, as they stand in the configuration
    file. `settings.load_report_fields` has the names that they are mapped to.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    max_memory_bytes: int
    cached_list: dict[str, Any]
    settings: api.Settings
    configured_report_names: tuple[str, ...]


def parse_address(text: object) -> Address:
    """Parse `host:port`; ValueError if it is invalid."""
    if not isinstance(text, str):
        raise ValueError(f"an address must be a string, not {text!r}")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"an address must be host:port, not {text!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str] = os.environ, *, with_cached_list: bool = True) -> Config:
    """Load the configuration file that `NODE_CONFIG` names.

    Without its cached list, a long configuration takes little memory.
    Raises ConfigError if it is missing or invalid, and OSError if it cannot be read at the moment.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.loads(
                file.read(), parse_constant=_reject_constant,
                object_hook=None if with_cached_list else _drop_entry)
    except OSError as error:
        if error.errno in PASSING_ERRNOS:
            raise
        raise ConfigError(f"NODE_CONFIG: {error.strerror or error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("NODE_CONFIG: the file must contain a JSON object")
    try:
        return _decode_config(raw, environ)
    except (codec.DecodeError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {error}") from None


def _drop_entry(value: dict[str, Any]) -> dict[str, Any]:
    """Return an empty object in place of an entry of the cached list, as soon as it has been read."""
    return {} if "instanceId" in value else value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def _decode_config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings must be an object")
    cached_list = raw.get("known", {"generation": 0, "instances": []})
    if not isinstance(cached_list, dict):
        raise ValueError("known must be an object")
    limits = raw.get("limits") or {}
    max_sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(max_sockets, bool) or not isinstance(max_sockets, int) or max_sockets < 32:
        raise ValueError("limits.sockets must be an integer of at least 32")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB) if isinstance(limits, dict) else None
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, int | float) or not (
            0 < memory_mb < MAX_MEMORY_MB):
        raise ValueError("limits.memory_mb must be a positive number")
    report = settings.get("report")
    fields = report.get("fields") if isinstance(report, dict) else None
    decoded_settings = codec.decode_settings(settings)
    return Config(
        name=str(raw.get("name") or environ.get("NODE_NAME") or "proxy"),
        listen=parse_address(raw.get("listen") or environ.get("NODE_LISTEN")),
        discovery=parse_address(raw.get("discovery") or environ.get("NODE_DISCOVERY")),
        seed=_parse_seed(raw.get("seed")),
        max_sockets=max_sockets,
        max_memory_bytes=int(memory_mb * MEGABYTE),
        cached_list=cached_list,
        settings=decoded_settings,
        configured_report_names=tuple(fields) if isinstance(fields, list) else (),
    )


def _parse_seed(value: object) -> int:
    if isinstance(value, int):
        return value
    if not isinstance(value, str):
        raise ValueError("seed must be an integer or a string of hexadecimal digits")
    try:
        return int(value, 16)
    except ValueError:
        raise ValueError(f"seed must be a string of hexadecimal digits, not {value!r}") from None
