"""The reader of requests: exact ends, limits and what is held."""

import pytest

from sardinestair.observability import EventLog
from sardinestair.web import Response, WebApp
from sardinestair.web.limits import MAX_FIELDS, MAX_HEADER_BYTES
from sardinestair.web.memory import Cause
from sardinestair.web.reader import RequestReader

MAX_BODY_BYTES = 64 << 10
HEAD = b"POST /echo HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MESSAGES = [
    b"GET /a HTTP/1.1\r\n\r\n",
    HEAD + b"Content-Length: 7\r\n\r\n\r\n\r\nabc",
    CHUNKED + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
    CHUNKED + b"4\r\n\r\n\r\n\r\n0\r\nTrailer: t\r\n\r\n",
    HEAD + b"Content-Length: 0\r\n\r\n",
]


@pytest.fixture
def app():
    async def echo(request):
        return Response(request.body)

    async def mark(_request):
        return Response()

    async def change(request):
        return Response(request.body)

    rules = [
        ("/echo", ["GET", "POST", "DELETE"], echo),
        ("/mark", ["POST"], mark, 0),
        ("/change", ["POST"], change, 8192),
    ]
    return WebApp(rules, MAX_BODY_BYTES, EventLog("test"))


@pytest.fixture
def reader(app):
    return RequestReader(app, None)


def feed_all(reader, data, size=4096):
    for start in range(0, len(data), size):
        piece, position = data[start : start + size], 0
        while position < len(piece) and reader.refusal is None:
            position = reader.feed(piece, position)


@pytest.mark.parametrize("size", [1, 2, 3, 5, 17, 4096])
@pytest.mark.parametrize("message", MESSAGES)
def test_reader_stops_at_the_end_of_the_request(app, message, size):
    """However the data is cut, nothing of the next request is parsed."""
    reader = RequestReader(app, None)
    data = message + MESSAGES[1] + MESSAGES[0]
    start = position = 0
    while not reader.is_complete:
        piece = data[start : start + size]
        position = reader.feed(piece, 0)
        start += position
        assert reader.refusal is None
    assert start == len(message)


def test_tiny_chunks_cost_no_more_than_their_bytes(reader):
    empty_bytes = reader.held_bytes
    feed_all(reader, CHUNKED + b"1\r\nx\r\n" * 16_000)
    assert reader.body_size == 16_000
    assert reader.held_bytes - empty_bytes < 20_000
    assert bytes(reader.body) == b"x" * 16_000


def test_many_small_parts_are_read_a_little_at_a_time(reader):
    data = CHUNKED + b"1\r\nx\r\n" * 16_000
    position = reader.feed(data, 0)
    assert position < 16 << 10
    assert reader.feed(data, position) > position


@pytest.mark.parametrize(
    ("data", "cause", "status"),
    [
        (HEAD + b"a:b\r\n" * (MAX_FIELDS + 1), Cause.FIELDS, 431),
        (HEAD + b"a: " + b"b" * 2 * MAX_HEADER_BYTES, Cause.FIELDS, 431),
        (b"GET /" + b"x" * 2 * MAX_HEADER_BYTES, Cause.FIELDS, 431),
        (
            CHUNKED + b"0\r\na: " + b"b" * 2 * MAX_HEADER_BYTES,
            Cause.FIELDS,
            431,
        ),
        (HEAD + b"Content-Length: 65537\r\n\r\n", Cause.BODY, 413),
        (CHUNKED + b"10001\r\n" + b"x" * 65537, Cause.BODY, 413),
        (
            b"POST /none HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
            Cause.ROUTE,
            404,
        ),
        (b"PUT /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\n", Cause.ROUTE, 405),
        (b"GET /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\n", Cause.BODY, 413),
        (
            b"DELETE /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
            Cause.BODY,
            413,
        ),
        (b"POST /mark HTTP/1.1\r\nContent-Length: 9\r\n\r\n", Cause.BODY, 413),
        (CHUNKED.replace(b"/echo", b"/mark"), Cause.BODY, 413),
        (
            b"POST /change HTTP/1.1\r\nContent-Length: 8193\r\n\r\n",
            Cause.BODY,
            413,
        ),
        (CHUNKED.replace(b"/echo", b"/none"), Cause.ROUTE, 404),
        (b"nonsense\r\n\r\n", Cause.SYNTAX, 400),
    ],
)
def test_request_is_refused_as_soon_as_it_is_known(reader, data, cause, status):
    feed_all(reader, data)
    assert reader.refusal is not None
    assert (reader.refusal.cause, reader.refusal.response.status) == (
        cause,
        status,
    )
    assert b'"not_run":true' in reader.refusal.response.body
    assert not reader.fields
    assert not reader.body


def test_refusal_of_the_application_comes_before_the_body(app):
    app.check_header = lambda request: Response(b"no", 404)
    reader = RequestReader(app, None)
    feed_all(reader, HEAD + b"Content-Length: 9\r\n\r\n")
    assert reader.refusal.response.status == 404


def test_small_body_that_came_with_its_header_is_left_to_the_handler(reader):
    """An unknown path is then answered as usual, and the connection kept."""
    data = b"POST /none HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
    assert reader.feed(data, 0) == len(data)
    assert reader.is_complete
    assert reader.keep_alive


@pytest.mark.parametrize(
    ("method", "path", "size"),
    [
        ("POST", "/mark", 4097),
        ("POST", "/change", 8193),
        ("GET", "/echo", 4097),
        ("DELETE", "/echo", 60_000),
    ],
)
def test_body_over_the_limit_of_its_route_is_refused_also_as_a_whole(
    reader, method, path, size
):
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {size}\r\n\r\n"
    reader.feed(head.encode() + b"x" * size, 0)
    assert reader.refusal.cause is Cause.BODY
    assert reader.refusal.response.status == 413
    assert not reader.body


def test_body_within_the_limit_of_its_route_is_accepted(reader):
    head = b"POST /change HTTP/1.1\r\nContent-Length: 8192\r\n\r\n"
    reader.feed(head + b"x" * 8192, 0)
    assert reader.is_complete
    assert len(reader.request.body) == 8192


def test_chunks_whose_sizes_come_in_parts_of_their_own_are_accepted(reader):
    """As some clients write size, data and line end one by one."""
    for piece in [CHUNKED, *[b"1\r\n", b"x", b"\r\n"] * 8000]:
        reader.feed(piece, 0)
    assert reader.refusal is None
    reader.feed(b"0\r\n\r\n", 0)
    assert reader.is_complete
    assert len(reader.request.body) == 8000
