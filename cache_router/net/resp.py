"""RESP2, the protocol of clients and cache servers: an encoder of commands and a strict reader of messages.

The reader rejects a message that is too large as soon as its length is announced.
Protocol: https://redis.io/docs/latest/develop/reference/protocol-spec/
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

from cache_router.errors import RouterError

MAX_LINE_LENGTH = 1024  # bytes of an error line or simple string
MAX_NUMBER_LENGTH = 20  # bytes of a number or length
MAX_DEPTH = 4  # levels of nested arrays
INTEGER = re.compile(rb"-?[0-9]{1,19}")
LENGTH = re.compile(rb"-1|[0-9]{1,10}")
LINE_END = b"\r\n"
# the first byte of a message gives its type
SIMPLE_STRING, ERROR, NUMBER, BULK_STRING, ARRAY = b"+-:$*"


class RespError(RouterError, ValueError):
    """The input is not RESP2 or exceeds a limit; the rest of the stream can't be parsed."""


class _IncompleteMessageError(Exception):
    """The end of the message has not arrived yet."""


class Incompleteness(Enum):
    """The type of `INCOMPLETE`, which differs from every message."""

    INCOMPLETE = auto()


INCOMPLETE: Final = Incompleteness.INCOMPLETE


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """An error line, which starts with `-`; its text is decoded as Latin-1, which accepts all bytes."""

    text: str


Message = None | int | str | bytes | ErrorReply | list["Message"]


def encode_command(parts: Sequence[bytes]) -> bytes:
    """Encode a command: an array of bulk strings."""
    return b"".join([b"*%d\r\n" % len(parts), *(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)])


class RespReader:
    """Takes bytes as they arrive and returns complete messages.

    Bulk strings are returned as bytes, simple strings as text. Each `_read_` method reads the part of a
    message that starts at `_position`, and advances `_position` past it; it raises `_IncompleteMessageError`
    if the part has not arrived completely, and `RespError` if it is not accepted.
    """

    __slots__ = ("_buffer", "_max_bulk", "_max_items", "_max_message", "_position")

    def __init__(self, max_items: int, max_bulk: int, max_message: int) -> None:
        """Create a reader with limits.

        Args:
            max_items: Maximum number of items of an array.
            max_bulk: Maximum size of a bulk string in bytes.
            max_message: Maximum size of a message in bytes.
        """
        self._max_items = max_items
        self._max_bulk = max_bulk
        self._max_message = max_message
        self._buffer = bytearray()  # received bytes from the start of the next message
        self._position = 0  # index of the next byte to parse

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    @property
    def buffered_size(self) -> int:
        """Number of bytes that are buffered and not part of a returned message."""
        return len(self._buffer)

    def is_empty(self) -> bool:
        """Return whether no byte of a further message is buffered."""
        return not self._buffer

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._buffer.clear()

    def next(self) -> Message | Literal[Incompleteness.INCOMPLETE]:
        """Return the next message, or `INCOMPLETE` if its end has not arrived yet.

        Each call parses the message from its first byte, because nearly all messages arrive in one piece.

        Raises:
            RespError: The input is not RESP2 or exceeds a limit.
        """
        if not self._buffer:
            return INCOMPLETE
        self._position = 0
        try:
            message = self._read_message(depth=0)
        except _IncompleteMessageError:
            self._check_size(len(self._buffer))
            return INCOMPLETE
        self._check_size(self._position)
        del self._buffer[: self._position]
        return message

    def _check_size(self, size: int) -> None:
        """Raise `RespError` if a message is too long, even if each of its lines is short."""
        if size > self._max_message:
            raise RespError("message is too long")

    def _read_message(self, depth: int) -> Message:
        try:
            first_byte = self._buffer[self._position]
        except IndexError:
            raise _IncompleteMessageError from None
        self._position += 1
        if first_byte == BULK_STRING:
            return self._read_bulk_string()
        if first_byte == ARRAY:
            return self._read_array(depth)
        if first_byte == NUMBER:
            return self._read_number(INTEGER)
        if first_byte not in (SIMPLE_STRING, ERROR):
            raise RespError("not RESP")
        text = self._read_text()
        return ErrorReply(text) if first_byte == ERROR else text

    def _read_text(self) -> str:
        line = self._read_line(MAX_LINE_LENGTH)
        if b"\n" in line or b"\r" in line:
            raise RespError("line end within a line")
        return line.decode("latin-1")

    def _read_line(self, max_length: int) -> bytes:
        buffer, start = self._buffer, self._position
        end = buffer.find(LINE_END, start, start + max_length + len(LINE_END))
        if end < 0:
            # The last byte may be the CR of the line end.
            if len(buffer) - start > max_length + 1:
                raise RespError("line is too long")
            raise _IncompleteMessageError
        self._position = end + len(LINE_END)
        return bytes(buffer[start:end])

    def _read_number(self, pattern: re.Pattern[bytes]) -> int:
        line = self._read_line(MAX_NUMBER_LENGTH)
        if not pattern.fullmatch(line):
            raise RespError("number can't be read")
        return int(line)

    def _read_bulk_string(self) -> bytes | None:
        length = self._read_number(LENGTH)
        if length < 0:
            return None
        buffer, start = self._buffer, self._position
        end = start + length
        # The announced length is checked, so that no memory is held for a string that is rejected later.
        if length > self._max_bulk or end > self._max_message:
            raise RespError("string is too long")
        terminator = buffer[end : end + len(LINE_END)]
        # A wrong length would give a wrong value, and the rest of the stream could not be parsed.
        if terminator != LINE_END[: len(terminator)]:
            raise RespError("length does not fit")
        if len(terminator) < len(LINE_END):
            raise _IncompleteMessageError
        self._position = end + len(LINE_END)
        return bytes(buffer[start:end])

    def _read_array(self, depth: int) -> list[Message] | None:
        count = self._read_number(LENGTH)
        if count < 0:
            return None
        # The items of an announced array may never arrive: it must cost neither memory nor stack.
        if count > self._max_items or depth >= MAX_DEPTH:
            raise RespError("array is too long or too deep")
        return [self._read_message(depth + 1) for _ in range(count)]
