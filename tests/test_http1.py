"""HTTP/1.1 parsing: single headers, and complete, split and malformed requests and responses."""

from __future__ import annotations

import pytest

from honeywharf.net import http1, message_reader, request_reader, response_reader

VALID_REQUEST = (
    b"POST /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f\r\nX-Service-Class: checkout\r\n"
    b"X-Account: acme\r\nCookie: a=b; sid=7f3a; c=d\r\nX-Time-Left: 480m\r\nX-Repeat: 1\r\n"
    b"X-Weight-Hint: 2500\r\nX-Facts: isWrite=1,odd\r\nIdempotency-Key: 5c0f\r\nContent-Length: 3\r\n\r\nabc"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def make_reader() -> request_reader.RequestReader:
    return request_reader.RequestReader(lambda: None)


def read_requests(reader: request_reader.RequestReader, data: bytes) -> list[http1.Request]:
    """Return the requests that these bytes complete."""
    reader.receive(data)
    requests = []
    while reader.has_input and reader.error is None:
        request = reader.next_request()
        if request is not None:
            requests.append(request)
    return requests


@pytest.mark.parametrize(("text", "ms"), [
    (b"480m", 480.0), (b"480000u", 480.0), (b"1.5m", 1.5), (b"0m", 0.0), (b" 7u ", 0.007),
    (b"480", None), (b"480s", None), (b"-1m", None), (b"nanm", None), (b"1e9m", None), (b"", None),
])
def test_parse_duration(text: bytes, ms: float | None) -> None:
    assert http1.parse_duration_ms(text) == ms


def test_the_time_left_header_is_in_microseconds_and_never_negative() -> None:
    _, _, value = http1.time_left_header(1234.5678).partition(b":")
    assert http1.parse_duration_ms(value.strip()) == pytest.approx(1234.567)
    assert http1.time_left_header(-3.0) == b"X-Time-Left: 0u\r\n"


def test_a_request_received_byte_by_byte_equals_one_received_at_once() -> None:
    (whole,) = read_requests(make_reader(), VALID_REQUEST)
    split_reader, requests = make_reader(), []
    for i in range(len(VALID_REQUEST)):
        requests += read_requests(split_reader, VALID_REQUEST[i:i + 1])
    (split,) = requests
    for request in (whole, split):
        assert (request.method, request.target, request.body) == (b"POST", b"/api?x=1", b"abc")
        assert (request.id, request.class_name, request.account, request.session_id) == (
            "9b1f", "checkout", "acme", "7f3a")
        # `work_hint_ms` is the header X-Weight-Hint, which is in microseconds.
        assert (request.time_left_ms, request.work_hint_ms, request.is_retry) == (480.0, 2.5, True)
        assert http1.parse_named_numbers(request.facts) == {"isWrite": 1.0}
        assert request.idempotency_key == b"5c0f"
    assert whole.head() == split.head()


def test_only_allowlisted_headers_are_forwarded() -> None:
    extra_headers = b"Connection: close, X-Hop\r\nX-Hop: 1\r\nContent_Length: 9\r\nHost"
    (request,) = read_requests(make_reader(), VALID_REQUEST.replace(b"Host", extra_headers))
    head = request.head()
    assert head.startswith(b"POST /api?x=1 HTTP/1.1\r\n")
    for line in (b"Host: app.svc", b"X-Correlation-Id: 9b1f", b"Idempotency-Key: 5c0f", b"Content-Length: 3"):
        assert head.count(line + b"\r\n") == 1
    for dropped in (b"X-Time-Left", b"Connection", b"X-Hop", b"Content_Length"):
        assert dropped not in head
    assert not request.keep_alive


def test_a_chunked_body_is_forwarded_with_a_content_length() -> None:
    chunked = VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED)
    (request,) = read_requests(make_reader(), chunked + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
    assert request.body == b"abc"
    assert b"Content-Length: 3\r\n" in request.head()
    assert b"Transfer-Encoding" not in request.head()


UPGRADE_OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
READ_REQUEST = (
    b"GET /api HTTP/1.1\r\nX-Correlation-Id: 9b20\r\nX-Service-Class: read\r\nX-Time-Left: 480m\r\n\r\n")


def offer_upgrade(request: bytes) -> bytes:
    return request.replace(b" HTTP/1.1\r\n", b" HTTP/1.1\r\n" + UPGRADE_OFFER)


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize("request_bytes", [
    VALID_REQUEST,
    VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
    VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", b"Content-Length: 0\r\n\r\n"),
    VALID_REQUEST.replace(b"Cookie", b"Connection: close\r\nCookie"),
    VALID_REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"),
    READ_REQUEST,
])
def test_an_offer_to_upgrade_the_connection_changes_nothing_about_a_request(
    request_bytes: bytes, size: int,
) -> None:
    """Guards against requests that reached a backend without their body because they offered an upgrade."""
    (expected,) = read_requests(make_reader(), request_bytes)
    offering = offer_upgrade(request_bytes)
    if expected.keep_alive:  # A further request follows on the same connection.
        offering += offer_upgrade(READ_REQUEST)
    reader, requests = make_reader(), []
    for i in range(0, len(offering), size):
        requests += read_requests(reader, offering[i:i + size])
    assert reader.error is None
    assert reader.idle
    assert [request.id for request in requests] == [expected.id, "9b20"][:len(requests)]
    assert len(requests) == (2 if expected.keep_alive else 1)
    assert (requests[0].head(), requests[0].body) == (expected.head(), expected.body)
    assert requests[0].keep_alive == expected.keep_alive


@pytest.mark.parametrize(("raw", "status"), [
    (VALID_REQUEST.replace(b"Content-Length: 3", b"Content-Length: 3\r\nContent-Length: 3"), 400),
    (VALID_REQUEST.replace(b"Content-Length: 3", b"Content-Length: 65537"), 413),
    (VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"zz\r\n"), 400),
    (VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"20000\r\n" + b"x" * 70000), 413),
    (READ_REQUEST + b"\x81\x05hello", 400),  # data of another protocol, to which nothing was switched
    (VALID_REQUEST.replace(b"POST", b"CONNECT"), 400),
])
def test_a_malformed_request_that_offers_an_upgrade_is_rejected_with_its_status(
    raw: bytes, status: int,
) -> None:
    reader = make_reader()
    read_requests(reader, offer_upgrade(raw))
    assert reader.error is not None
    assert reader.error.status == status


def test_many_requests_that_offer_an_upgrade_are_parsed_from_one_read() -> None:
    reader = make_reader()
    assert len(read_requests(reader, offer_upgrade(READ_REQUEST) * 3000)) == 3000
    assert reader.error is None


@pytest.mark.parametrize(("raw", "status"), [
    (b"nonsense\r\n\r\n", 400),
    (VALID_REQUEST.replace(b"480m", b"soon"), 400),
    (VALID_REQUEST.replace(b"X-Account: acme", b"X-Correlation-Id: 2"), 400),
    (VALID_REQUEST.replace(b"Content-Length: 3", b"Content-Length: 65537"), 413),
    (VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"20000\r\n" + b"x" * 70000), 413),
    (VALID_REQUEST.replace(b"acme", b"a" * 20000), 431),
    # Guards against clients that keep the proxy busy with heads of very many short fields.
    (VALID_REQUEST.replace(b"Host", b"A:\r\n" * message_reader.MAX_FIELDS + b"Host"), 431),
    (VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"0\r\n") + b"A:\r\n" * 100 + b"\r\n",
     431),
    (b"GET /" + b"a" * 20000, 431),
    (b"GET / HTTP/1.1\r\nX-Endless: " + b"a" * 20000, 431),
    *((VALID_REQUEST.replace(b"Content-Length: 3", headers), 400) for headers in (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 3",
        b"Content-Length: 3\r\nContent-Length: 3", b"Content-Length: 3\r\nContent-Length: 4",
        b"Content-Length: -3", b"Content-Length: +3", b"Content-Length: 3,3", b"Content-Length: 0x3",
        b"Content-Length: 1_0", b"Content-Length:", b"Content-Length : 3",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding: chunked, gzip",
        b"Transfer-Encoding: xchunked",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", b"Transfer-Encoding:\x0bchunked",
        b"X-A: b\r\n folded", b"X-A: b\rContent-Length: 3", b"X-A: b\nContent-Length: 3", b"X-A : b",
        b"X-A: b\0c", b": x", b"X-Time-Left: 9m", b"X-Service-Class: b", b"Idempotency-Key: b",
    )),
    (VALID_REQUEST.replace(b"Content-Length: 3", b"Content-Length: " + b"9" * 17), 413),
    (VALID_REQUEST.replace(b"Content-Length: 3", b"Content-Length: " + b"9" * 40), 400),
    (VALID_REQUEST.replace(b"Correlation-Id: 9b1f", b"Correlation-Id: 9b 1f"), 400),
    (VALID_REQUEST.replace(b"Correlation-Id: 9b1f", b"Correlation-Id: " + b"a" * 129), 400),
    (VALID_REQUEST.replace(b"HTTP/1.1", b"HTTP/2.0"), 400), (VALID_REQUEST.replace(b" HTTP/1.1", b""), 400),
    (VALID_REQUEST.replace(b"/api?", b"/a pi?"), 400), (VALID_REQUEST.replace(b"/api?", b"/api\xff?"), 400),
    (VALID_REQUEST.replace(b"POST", b"FOO"), 400), (VALID_REQUEST.replace(b"POST", b"CONNECT"), 400),
])
def test_malformed_requests_are_rejected_with_their_status(raw: bytes, status: int) -> None:
    reader = make_reader()
    for i in range(0, len(raw), 4096):
        assert read_requests(reader, raw[i:i + 4096]) == []
        if reader.error is not None:
            break
    assert reader.error is not None
    assert reader.error.status == status


def test_a_request_with_the_most_fields_is_read() -> None:
    more_fields = b"A:\r\n" * (message_reader.MAX_FIELDS - VALID_REQUEST.count(b": "))
    (request,) = read_requests(make_reader(), VALID_REQUEST.replace(b"Host", more_fields + b"Host"))
    assert request.id == "9b1f"


def test_trailer_fields_do_not_change_a_request() -> None:
    """Guards against trailer fields that were taken for headers of the request, and forwarded as such."""
    head = READ_REQUEST.replace(b"GET", b"POST").removesuffix(b"\r\n")
    chunked = head + CHUNKED + b"1\r\nx\r\n0\r\n"
    trailers = b"Idempotency-Key: k\r\nHost: other\r\nX-Correlation-Id: 2\r\nX-Time-Left: 9m\r\n"
    (expected,) = read_requests(make_reader(), chunked + b"\r\n")
    (request,) = read_requests(make_reader(), chunked + trailers + b"\r\n")
    assert (request.head(), request.body) == (expected.head(), b"x")
    assert (request.id, request.idempotency_key, request.time_left_ms) == ("9b20", b"", 480.0)


def test_a_trailer_field_does_not_tell_that_a_request_was_not_executed() -> None:
    """Guards against the repetition of a request that a trailer field declared as not executed."""
    trailers = b"X-Unprocessed: 1\r\nX-Backend-Load: queue=2\r\n"
    response = response_reader.ResponseReader().feed(
        b"HTTP/1.1 503 X\r\n" + CHUNKED + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n")
    assert response is not None
    assert (response.body, response.unprocessed, response.load_report) == (b"x", False, None)


@pytest.mark.parametrize("size", [1, 100, 4096])
@pytest.mark.parametrize("endless", [b"0\r\nX-Endless: ", b"0\r\n", b"1;extension="])
def test_an_endless_line_after_the_head_is_rejected(endless: bytes, size: int) -> None:
    """Guards against a client that fills the memory with a trailer line that never ends."""
    chunked = VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + b"1\r\nx\r\n")
    reader, sent = make_reader(), 0
    read_requests(reader, chunked)
    read_requests(reader, endless)
    while reader.error is None and sent <= message_reader.MAX_HEAD_BYTES:
        read_requests(reader, b"a" * size)
        sent += size
    assert reader.error is not None
    assert reader.error.status == 431


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 70_000, 1_000_000])
def test_a_body_of_many_small_chunks_is_read_however_it_is_cut(size: int) -> None:
    chunks = b"1;name=value\r\nx\r\n" * 20_000 + b"0\r\nX-Trailer: 1\r\n\r\n"
    raw = VALID_REQUEST.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED + chunks)
    reader = make_reader()
    parts = [raw[i:i + size] for i in range(0, len(raw), size)]
    requests = [request for part in parts for request in read_requests(reader, part)]
    assert reader.error is None
    assert [request.body for request in requests] == [b"x" * 20_000]


def test_a_valid_request_before_a_malformed_one_is_parsed() -> None:
    reader = make_reader()
    (request,) = read_requests(reader, VALID_REQUEST + b"nonsense\r\n\r\n")
    assert request.id == "9b1f"
    assert reader.error is not None


def test_a_response_and_its_load_report_are_parsed() -> None:
    reader = response_reader.ResponseReader()
    raw = b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nX-Backend-Load: queue=2\r\nContent-Length: 2\r\n\r\nno"
    assert reader.feed(raw[:-1]) is None
    assert not reader.idle
    response = reader.feed(raw[-1:])
    assert response is not None
    assert (
        response.status, response.unprocessed, response.load_report, response.body, response.keep_alive,
    ) == (503, True, b"queue=2", b"no", True)
    assert reader.idle


def test_an_interim_response_is_skipped() -> None:
    raw = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
    response = response_reader.ResponseReader().feed(raw)
    assert response is not None
    assert (response.status, response.body, response.keep_alive) == (200, b"x", False)


STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("trailing", [
    STATUS_LINE + b"Content-Length: 1\r\n\r\ny", b"noise", b"\x00\xff", b"H",
    STATUS_LINE + b"Content-Length: 9\r\n\r\nhalf",
])
@pytest.mark.parametrize("framed_body", [
    b"Content-Length: 1\r\n\r\nx", b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
])
def test_a_complete_response_is_returned_despite_trailing_data(framed_body: bytes, trailing: bytes) -> None:
    reader = response_reader.ResponseReader()
    response = reader.feed(STATUS_LINE + framed_body + trailing)
    assert response is not None
    assert response.body == b"x"
    assert reader.has_trailing_data


def test_interim_responses_are_limited_and_their_headers_are_discarded() -> None:
    interim = b"HTTP/1.1 103 Early\r\nX-Backend-Load: queue=9\r\nX-Unprocessed: 1\r\n\r\n"
    response = response_reader.ResponseReader().feed(
        interim * 2 + STATUS_LINE + b"Content-Length: 1\r\n\r\nx")
    assert response is not None
    assert (response.body, response.load_report, response.unprocessed) == (b"x", None, False)
    with pytest.raises(http1.MalformedMessageError):
        response_reader.ResponseReader().feed(interim * 50)


@pytest.mark.parametrize("text", [
    b"nan", b"inf", b"-inf", b"1_0", b"-1", b"+1", b"0x1", b"1e3", b"", b" ", b"1.", b".5",
    b"9" * 400, b"\xb2",
])
def test_an_invalid_number_is_ignored(text: bytes) -> None:
    assert http1.parse_number(text) is None
    assert http1.parse_named_numbers(b"a=" + text + b",b=2") == {"b": 2.0}
    (request,) = read_requests(make_reader(), VALID_REQUEST.replace(b"2500", text))
    assert request.work_hint_ms is None


def test_an_idle_reader_releases_the_last_request() -> None:
    reader = make_reader()
    read_requests(reader, VALID_REQUEST)
    assert reader.request is request_reader.NO_REQUEST
    assert reader.body_buffer == b""


@pytest.mark.parametrize("raw", [
    b"garbage\r\n\r\n",
    STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n100001\r\n" + b"x" * 0x100001 + b"\r\n0\r\n\r\n",
    STATUS_LINE + b"Content-Length: 3000000000\r\n\r\n",  # rejected at its head, not after 1 MiB
    STATUS_LINE + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
    STATUS_LINE + b"Content-Length: -1\r\nContent-Length: 1\r\n\r\nx",
    STATUS_LINE + b"Content-Length: 3\r\nContent-Length: 1\r\n\r\nxxx",
    STATUS_LINE + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    STATUS_LINE + b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
    STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    STATUS_LINE + b"X-Pad: pppp\r\n" * 2000,
    STATUS_LINE + b"X-Pad: " + b"p" * 30000,
    STATUS_LINE + b"A:\r\n" * (message_reader.MAX_FIELDS + 1) + b"\r\n",
])
def test_malformed_responses_raise_an_error(raw: bytes) -> None:
    with pytest.raises(http1.MalformedMessageError):
        response_reader.ResponseReader().feed(raw)


def test_retry_after_is_in_decimal_seconds() -> None:
    text = http1.format_response(503, retry_after_ms=250.0, keep_alive=False)
    assert b"Retry-After: 0.250\r\n" in text
    assert b"Connection: close\r\n" in text
    assert b"Retry-After" not in http1.format_response(503)
