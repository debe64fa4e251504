"""Why connections are closed, for the counters and the log."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why the connection of a client was closed."""

    CLIENT_LEFT = "client left"
    LAST_RESPONSE = "last response"  # the client asked for the close, or the proxy drains
    IDLE = "idle"
    NO_REQUEST = "no request"  # nothing was received in time
    REQUEST_TIMEOUT = "request timeout"  # the request was not complete in time
    MALFORMED = "malformed"
    INVALID = "invalid"  # well-formed, but not a request that the service protocol allows
    TOO_MUCH_INPUT = "too much input"  # sent ahead while a request was served
    EVICTED = "evicted"  # in favour of a new connection
    CONNECTION_LIMIT = "connection limit"
    MEMORY = "memory"
    DRAIN = "drain"


#: The closes that an operator may want to trace to a single connection.
LOGGED_CLOSE_REASONS = frozenset({
    CloseReason.REQUEST_TIMEOUT, CloseReason.MALFORMED, CloseReason.INVALID, CloseReason.TOO_MUCH_INPUT,
    CloseReason.EVICTED, CloseReason.CONNECTION_LIMIT, CloseReason.MEMORY,
})


class BackendCloseReason(Enum):
    """Why a connection to a backend was closed."""

    BACKEND_CLOSED = "backend closed"
    UNSOLICITED_DATA = "unsolicited data"
    CALL_ENDED = "call ended"  # the call was aborted or failed, or its response does not allow reuse
    CONNECT_FAILED = "connect failed"
    ENDPOINT_UNUSED = "endpoint unused"  # it drains, has been removed, or the balancer asked for the close
    IDLE = "idle"
    EVICTED = "evicted"  # in favour of a connection to another backend
