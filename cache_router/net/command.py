"""A client's command: its parts, the checks on them, and the form in which it is forwarded."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cache_router.errors import RouterError

# bytes
MAX_VALUE = 64 * 1024
MAX_KEY = 1024
MAX_INFO = 1024
MAX_REQUEST_ID = 64
MAX_DEADLINE_MS = 600_000
# so that no long text is converted to a number just to be rejected
MAX_DEADLINE_DIGITS = 9
VISIBLE_ASCII = re.compile(rb"[!-~]+")
# the origin's own paths, and those that a path's readers resolve away: as keys they would be other requests
RESERVED_KEYS = (b".", b"..", b"stats", b"health/live")
GET = b"C.GET"
SET = b"C.SET"
# parts of a command with its verb: verb, key, request id, info and, for a write, the value
PART_COUNTS = {GET: 4, SET: 5}
# names of info fields: the request's class, its idempotency key, the client's estimate of its cost in
# microseconds, and the time for which the sender waits, in milliseconds
CLASS_FIELD = "c"
IDEMPOTENCY_KEY_FIELD = "k"
COST_HINT_FIELD = "h"
DEADLINE_FIELD = "d"


class CommandError(RouterError, ValueError):
    """A command that is rejected; the message goes to the client."""


@dataclass(slots=True, frozen=True)
class Command:
    """One read or write, as a client sent it.

    `info` are the fields of the request in the client's order, such as its class. `deadline_ms` is the time
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

    def encode_info(self, time_left: float) -> bytes:
        """Encode the info fields in their order, with the time for which the router waits, in seconds."""
        info = self.info | {DEADLINE_FIELD: str(max(1, int(time_left * 1000)))}
        return ",".join(f"{name}={value}" for name, value in info.items()).encode()


def parse_info(text: bytes) -> dict[str, str]:
    """Read `name=value` fields that commas divide.

    Raises:
        CommandError: They are too long, not visible ASCII, malformed, or give a name twice.
    """
    # the origin gets this as a header: a line break in it would begin another header or request
    if len(text) > MAX_INFO or not VISIBLE_ASCII.fullmatch(text):
        raise CommandError("names and values must be visible ASCII, 1024 bytes at most")
    info: dict[str, str] = {}
    for pair in text.decode().split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in info:
            raise CommandError(f"not a new name with its value: {pair[:40]}")
        info[name] = value
    return info


def parse_command(parts: object) -> Command:
    """Check the parts of a read or write, as the RESP reader gives them.

    Raises:
        CommandError: A part is missing, malformed, too long or reserved.
    """
    if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts) or not parts:
        raise CommandError("a command is an array of bulk strings")
    verb = parts[0].upper()
    if verb not in PART_COUNTS:
        raise CommandError(f"unknown command {parts[0][:20]!r}")
    if len(parts) != PART_COUNTS[verb]:
        raise CommandError(f"wrong number of arguments for {verb.decode()}")
    key, request_id = parts[1], parts[2]
    if not 0 < len(key) <= MAX_KEY or key in RESERVED_KEYS:
        raise CommandError("key is empty, too long or reserved")
    if len(request_id) > MAX_REQUEST_ID or not VISIBLE_ASCII.fullmatch(request_id):
        raise CommandError("request id must be visible ASCII, 64 bytes at most")
    info = parse_info(parts[3])
    deadline = info.get(DEADLINE_FIELD, "")
    # the router remembers a request until its deadline: without a bound memory would fill with old requests
    if not deadline.isdigit() or len(deadline) > MAX_DEADLINE_DIGITS or int(deadline) > MAX_DEADLINE_MS:
        raise CommandError("d must be a whole number of milliseconds, 600000 at most")
    value = parts[4] if verb == SET else None
    if value is not None and len(value) > MAX_VALUE:
        raise CommandError("value is longer than 65536 bytes")
    return Command(parts[0], key, request_id, info, int(deadline), value)
