"""The RESP reader: complete messages from pieces of any size, and limits on the buffer."""

from __future__ import annotations

import pytest

from cache_router.net.resp import INCOMPLETE, ErrorReply, RespError, RespReader, encode_command

MESSAGES = [
    (b"*3\r\n$5\r\nva\r\nl\r\n$3\r\nhit\r\n$-1\r\n", [b"va\r\nl", b"hit", None]),
    (b"*3\r\n$0\r\n\r\n$-1\r\n*2\r\n:-7\r\n+x\r\n", [b"", None, [-7, "x"]]),
    (b"-BUSY 12\r\n", ErrorReply("BUSY 12")),
    (b"*0\r\n", []),
    (b"*-1\r\n", None),
]


def make_reader() -> RespReader:
    """Return a reader with small limits."""
    return RespReader(max_items=4, max_bulk=100, max_message=250)


@pytest.mark.parametrize("step", [1, 2, 3, 1000])
def test_messages_are_read_in_pieces_of_any_size(step: int) -> None:
    """A message is returned once it is complete, and nothing remains buffered."""
    stream, read = b"".join(m[0] for m in MESSAGES), []
    resp_reader = make_reader()
    for start in range(0, len(stream), step):
        resp_reader.feed(stream[start : start + step])
        while (message := resp_reader.next()) is not INCOMPLETE:
            read.append(message)
    assert read == [m[1] for m in MESSAGES]
    assert resp_reader.is_empty()


def test_encoded_command_is_read() -> None:
    """Commands are arrays of bulk strings, which may hold any bytes."""
    resp_reader = make_reader()
    resp_reader.feed(encode_command([b"C.GET", b"", b"\r\n"]))
    assert resp_reader.next() == [b"C.GET", b"", b"\r\n"]


def test_cleared_reader_continues_with_the_next_bytes() -> None:
    """A discarded part of a message must not be joined to the bytes that arrive after it."""
    resp_reader = make_reader()
    resp_reader.feed(b"*2\r\n$1\r\na\r\n$5")
    assert resp_reader.next() is INCOMPLETE
    assert not resp_reader.is_empty()
    resp_reader.clear()
    assert resp_reader.is_empty()
    resp_reader.feed(b":1\r\n")
    assert resp_reader.next() == 1


@pytest.mark.parametrize(
    "data",
    [
        b"$101\r\n",
        b"$3000000000\r\n",
        b"$99999999999\r\n",
        b"*5\r\n",
        b"*100000000\r\n",
        b"*3\r\n$90\r\n" + b"x" * 90 + b"\r\n$90\r\n" + b"x" * 90 + b"\r\n$90\r\n",
        b"$-2\r\n",
        b"$+1\r\n",
        b"$1_0\r\n",
        b"$\r\n",
        b":1.5\r\n",
        b"$3\r\nvalu",  # longer than announced
        b"$3\r\nval\n",
        b"$5\r\nval\r\n$-1\r\n",  # shorter than announced
        b"*1\r\n" * 6,
        b"-" + b"x" * 1026,
        b"$" + b"1" * 22,
        b"+a\nb\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"\x00",
        b"(12\r\n",
    ],
)
def test_malformed_or_too_large_message_is_rejected_at_once(data: bytes) -> None:
    """Waiting for its end would use up memory, or keep the request in flight until the deadline."""
    resp_reader = make_reader()
    resp_reader.feed(data)
    with pytest.raises(RespError):
        resp_reader.next()


def test_incomplete_message_is_rejected_once_it_exceeds_its_size() -> None:
    """Arrays of short lines have no announced length; one client's command could take 67 MB of memory."""
    reader = RespReader(max_items=16, max_bulk=100, max_message=2000)
    reader.feed(b"*16\r\n*16\r\n" + b"+0123456789\r\n" * 15)
    assert reader.next() is INCOMPLETE
    reader.feed((b"+" + b"x" * 1000 + b"\r\n") * 2)
    with pytest.raises(RespError, match="message is too long"):
        reader.next()


def test_size_of_later_messages_does_not_count_towards_the_first() -> None:
    reader = RespReader(max_items=16, max_bulk=100, max_message=200)
    reader.feed(b"*1\r\n$3\r\nabc\r\n" * 100)
    assert [reader.next() for _ in range(100)] == [[b"abc"]] * 100
    assert reader.next() is INCOMPLETE
