"""The headers of a client's request: which of them the proxy reads, and which it forwards to the backend."""

from __future__ import annotations

import re
from collections.abc import Callable

from honeywharf.net.http1 import MalformedMessageError, Request, parse_duration_ms, parse_number

#: Request headers that are forwarded to a backend: those that the service protocol names, and the content
#: type. All others are dropped, because a backend might read them as another framing or as part of another
#: request.
FORWARDED_HEADERS = frozenset((
    b"host", b"x-correlation-id", b"x-service-class", b"x-account", b"cookie", b"x-repeat",
    b"idempotency-key", b"x-weight-hint", b"x-facts", b"content-type",
))
_CORRELATION_ID = re.compile(rb"[!-~]{1,128}")
_SESSION_ID = re.compile(rb"(?:^|;)\s*sid=([^;\s]*)")


def _set_id(request: Request, value: bytes) -> None:
    if request.id or not _CORRELATION_ID.fullmatch(value):
        raise MalformedMessageError(
            400, "X-Correlation-Id must occur once, with 1 to 128 visible ASCII characters")
    request.id = value.decode("latin-1")


def _set_class(request: Request, value: bytes) -> None:
    if request.class_name:
        raise MalformedMessageError(400, "X-Service-Class must occur only once")
    request.class_name = value.decode("latin-1")


def _set_account(request: Request, value: bytes) -> None:
    request.account = value.decode("latin-1")


def _set_session_id(request: Request, value: bytes) -> None:
    match = _SESSION_ID.search(value)
    if match is not None:
        request.session_id = match[1].decode("latin-1")


def _set_time_left(request: Request, value: bytes) -> None:
    repeated, request.time_left_ms = request.time_left_ms is not None, parse_duration_ms(value)
    if repeated or request.time_left_ms is None:
        raise MalformedMessageError(400, "X-Time-Left must occur once, with a duration such as 480m")


def _set_is_retry(request: Request, value: bytes) -> None:
    request.is_retry = value.strip() == b"1"


def _set_idempotency_key(request: Request, value: bytes) -> None:
    if request.idempotency_key:
        raise MalformedMessageError(400, "Idempotency-Key must occur only once")
    request.idempotency_key = value


def _set_work_hint(request: Request, value: bytes) -> None:
    hint_us = parse_number(value)
    request.work_hint_ms = None if hint_us is None else hint_us / 1000.0


def _set_facts(request: Request, value: bytes) -> None:
    request.facts = value


def _set_expects_continue(request: Request, value: bytes) -> None:
    request.expects_continue = value.strip().lower() == b"100-continue"


#: The function that stores the value of each header that the proxy reads, by its name in lower case.
HEADER_SETTERS: dict[bytes, Callable[[Request, bytes], None]] = {
    b"x-correlation-id": _set_id, b"x-service-class": _set_class, b"x-account": _set_account,
    b"cookie": _set_session_id, b"x-time-left": _set_time_left, b"x-repeat": _set_is_retry,
    b"idempotency-key": _set_idempotency_key, b"x-weight-hint": _set_work_hint, b"x-facts": _set_facts,
    b"expect": _set_expects_continue,
}
