"""RESP2 as bytes in and out: a strict reader, which rejects what is too large as soon as it is announced."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

from cache_router.errors import RouterError

# bytes of an error line or simple string
MAX_LINE_LENGTH = 1024
# bytes of a number or length
MAX_NUMBER_LENGTH = 20
# arrays within arrays
MAX_DEPTH = 4
INTEGER = re.compile(rb"-?[0-9]{1,19}")
LENGTH = re.compile(rb"-1|[0-9]{1,10}")
LINE_END = b"\r\n"
# first bytes of messages
SIMPLE_STRING, ERROR, NUMBER, BULK_STRING, ARRAY = b"+-:$*"


class RespError(RouterError, ValueError):
    """Bytes that are not RESP2, or announce more than is accepted: what follows them can't be read."""


class _IncompleteMessageError(Exception):
    """The end of the message has not come yet."""


class Incompleteness(Enum):
    """The type of `INCOMPLETE`, which no message is equal to."""

    INCOMPLETE = auto()


INCOMPLETE: Final = Incompleteness.INCOMPLETE


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """A reply that begins with `-`; its text is decoded as Latin-1, which accepts all bytes."""

    text: str


Message = None | int | str | bytes | ErrorReply | list["Message"]


def encode_command(parts: Sequence[bytes]) -> bytes:
    """Encode a command: an array of bulk strings."""
    return b"".join([b"*%d\r\n" % len(parts), *(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)])


class RespReader:
    """Takes bytes as they come and gives complete messages: bulk strings as bytes, simple strings as text."""

    def __init__(self, max_items: int, max_bulk: int, max_message: int) -> None:
        """Create a reader that accepts no more than these.

        Args:
            max_items: Items of an array.
            max_bulk: Bytes of a bulk string.
            max_message: Bytes of a message, up to the end of its last bulk string.
        """
        self.max_items = max_items
        self.max_bulk = max_bulk
        self.max_message = max_message
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes to those that wait to be read."""
        self.buffer += data

    def next(self) -> Message | Literal[Incompleteness.INCOMPLETE]:
        """The next message, or `INCOMPLETE` if its end has not come yet.

        Each call reads a message from its start, as nearly all come in one piece.

        Raises:
            RespError: The bytes are not RESP2, or announce more than is accepted. What follows can't be read.
        """
        if not self.buffer:
            return INCOMPLETE
        try:
            message, end = self._read_message(0, 0)
        except _IncompleteMessageError:
            return INCOMPLETE
        del self.buffer[:end]
        return message

    # Each of the methods below reads what begins at `start`, and returns it with the index of what follows.
    # They raise _IncompleteMessageError or RespError.

    def _read_message(self, start: int, depth: int) -> tuple[Message, int]:
        try:
            first_byte = self.buffer[start]
        except IndexError:
            raise _IncompleteMessageError from None
        start += 1
        if first_byte == BULK_STRING:
            return self._read_bulk_string(start)
        if first_byte == ARRAY:
            return self._read_array(start, depth)
        if first_byte == NUMBER:
            return self._read_number(INTEGER, start)
        if first_byte not in (SIMPLE_STRING, ERROR):
            raise RespError("not RESP")
        line, end = self._read_line(start, MAX_LINE_LENGTH)
        if b"\n" in line or b"\r" in line:
            raise RespError("line end within a line")
        text = line.decode("latin-1")
        return (ErrorReply(text) if first_byte == ERROR else text), end

    def _read_line(self, start: int, max_length: int) -> tuple[bytes, int]:
        end = self.buffer.find(LINE_END, start, start + max_length + len(LINE_END))
        if end < 0:
            # the last byte may be the first of the line's end
            if len(self.buffer) - start > max_length + 1:
                raise RespError("line is too long")
            raise _IncompleteMessageError
        return bytes(self.buffer[start:end]), end + len(LINE_END)

    def _read_number(self, pattern: re.Pattern[bytes], start: int) -> tuple[int, int]:
        line, end = self._read_line(start, MAX_NUMBER_LENGTH)
        if not pattern.fullmatch(line):
            raise RespError("number can't be read")
        return int(line), end

    def _read_bulk_string(self, start: int) -> tuple[bytes | None, int]:
        length, start = self._read_number(LENGTH, start)
        if length < 0:
            return None, start
        end = start + length
        # decided by the announced length, so that no memory is held for what is rejected in the end
        if length > self.max_bulk or end > self.max_message:
            raise RespError("string is too long")
        terminator = self.buffer[end : end + len(LINE_END)]
        # with a length that does not fit, the value would be wrong and what follows it meaningless
        if terminator != LINE_END[: len(terminator)]:
            raise RespError("length does not fit")
        if len(terminator) < len(LINE_END):
            raise _IncompleteMessageError
        return bytes(self.buffer[start:end]), end + len(LINE_END)

    def _read_array(self, start: int, depth: int) -> tuple[list[Message] | None, int]:
        count, start = self._read_number(LENGTH, start)
        if count < 0:
            return None, start
        # arrays may be announced that never come: they must cost neither memory nor stack
        if count > self.max_items or depth >= MAX_DEPTH:
            raise RespError("array is too long or too deep")
        items: list[Message] = []
        for _ in range(count):
            item, start = self._read_message(start, depth + 1)
            items.append(item)
        return items, start
