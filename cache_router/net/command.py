"""Parsing and validation of clients' commands, and the encoding of their info fields."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cache_router.errors import RouterError
from cache_router.net.resp import Message

MAX_VALUE_SIZE = 64 * 1024  # bytes
MAX_KEY_SIZE = 1024  # bytes
MAX_INFO_SIZE = 1024  # bytes
MAX_REQUEST_ID_SIZE = 64  # bytes
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 9  # longer texts are rejected without converting them to a number
VISIBLE_ASCII = re.compile(rb"[!-~]+")
# The key becomes a part of the path of a request to the origin. With these keys the path would have another
# meaning: `.` and `..` are resolved as relative segments, and the others are paths of the origin itself.
RESERVED_KEYS = (b".", b"..", b"stats", b"health/live")
GET = b"C.GET"
SET = b"C.SET"
# number of parts of a command: verb, key, request id, info and, for a write, the value
PART_COUNTS = {GET: 4, SET: 5}
# names of info fields
CLASS_FIELD = "c"  # class of the request
IDEMPOTENCY_KEY_FIELD = "k"
COST_HINT_FIELD = "h"  # the client's estimate of the request's cost, in microseconds
DEADLINE_FIELD = "d"  # time for which the sender waits for a response, in milliseconds
NOT_A_COMMAND = "a command is an array of bulk strings"


class CommandError(RouterError, ValueError):
    """A command is invalid or can't be accepted; the message is sent to the client."""


@dataclass(slots=True, frozen=True)
class Command:
    """One read or write, as a client sent it.

    `info` has the fields of the request in the client's order, such as its class. `deadline_ms` is the time
    for which the client waits, in milliseconds. Reads have no value.
    """

    verb: bytes
    key: bytes
    request_id: bytes
    info: dict[str, str]
    deadline_ms: int
    value: bytes | None = None

    @property
    def is_write(self) -> bool:
        """Whether the command stores a value."""
        return self.value is not None

    @property
    def value_size(self) -> int:
        """Size of the value in bytes."""
        return len(self.value or b"")

    def encode_info(self, time_left: float) -> bytes:
        """Encode the info fields in their order.

        The deadline is replaced by `time_left`, the time in seconds for which the router waits.
        """
        info = self.info | {DEADLINE_FIELD: str(max(1, int(time_left * 1000)))}
        return ",".join(f"{name}={value}" for name, value in info.items()).encode()


def parse_info(text: bytes) -> dict[str, str]:
    """Parse `name=value` fields that are separated by commas.

    Raises:
        CommandError: The text is too long, not visible ASCII or malformed, or has a name twice.
    """
    # The origin receives the fields as a header: a line break would start another header or request.
    if len(text) > MAX_INFO_SIZE or not VISIBLE_ASCII.fullmatch(text):
        raise CommandError("names and values must be visible ASCII, 1024 bytes at most")
    info: dict[str, str] = {}
    for pair in text.decode().split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in info:
            raise CommandError(f"not a new name with its value: {pair[:40]}")
        info[name] = value
    return info


def parse_command(parts: Message) -> Command:
    """Check the parts of a read or write, as the RESP reader returns them.

    Raises:
        CommandError: A part is missing, malformed, too long or reserved.
    """
    if not isinstance(parts, list) or not parts:
        raise CommandError(NOT_A_COMMAND)
    bulk_strings = [part for part in parts if isinstance(part, bytes)]
    if len(bulk_strings) < len(parts):
        raise CommandError(NOT_A_COMMAND)
    verb = bulk_strings[0].upper()
    if verb not in PART_COUNTS:
        raise CommandError(f"unknown command {bulk_strings[0][:20]!r}")
    if len(bulk_strings) != PART_COUNTS[verb]:
        raise CommandError(f"wrong number of arguments for {verb.decode()}")
    key, request_id = bulk_strings[1], bulk_strings[2]
    if not 0 < len(key) <= MAX_KEY_SIZE or key in RESERVED_KEYS:
        raise CommandError("key is empty, too long or reserved")
    if len(request_id) > MAX_REQUEST_ID_SIZE or not VISIBLE_ASCII.fullmatch(request_id):
        raise CommandError("request id must be visible ASCII, 64 bytes at most")
    info = parse_info(bulk_strings[3])
    deadline_ms = _parse_deadline(info.get(DEADLINE_FIELD, ""))
    value = bulk_strings[4] if verb == SET else None
    if value is not None and len(value) > MAX_VALUE_SIZE:
        raise CommandError("value is longer than 65536 bytes")
    return Command(bulk_strings[0], key, request_id, info, deadline_ms, value)


def _parse_deadline(text: str) -> int:
    # The router keeps a request until its deadline: without a limit, old requests would fill the memory.
    if not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS or int(text) > MAX_DEADLINE_MS:
        raise CommandError("d must be a whole number of milliseconds, 600000 at most")
    return int(text)
