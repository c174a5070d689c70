"""The endpoint list of an emulated discovery, and a bounded log of its changes; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import orjson

CHANGE_LOG_LENGTH = 1024  # indices; a poll for an older one gets the whole list
MAX_CACHED_BODIES = 256
Entry = Mapping[str, Any]  # in discovery's form


class Registry:
    """The list and a bounded log of its changes; no I/O."""

    def __init__(self, log_length: int = CHANGE_LOG_LENGTH) -> None:
        self.index = 0
        self.entries: dict[str, Entry] = {}
        self.changes: deque[tuple[int, Sequence[Entry]]] = deque(maxlen=log_length)
        self.bodies: dict[int | None, bytes] = {}  # encoded for the present index, by `after`

    def replace(self, index: int, entries: Iterable[Entry]) -> None:
        """Take a whole list; polls from before it get the whole list."""
        self.index = index
        self.entries = {e["name"]: e for e in entries}
        self.changes.clear()
        self.bodies.clear()

    def change(self, index: int, entries: Sequence[Entry]) -> None:
        """Take changed entries under the next index; raises ValueError for any other index."""
        if index != self.index + 1:
            raise ValueError(f"change {index} does not follow {self.index}")
        self.index = index
        for entry in entries:
            if entry["status"] == "terminated":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        self.changes.append((index, entries))
        self.bodies.clear()

    def has_update(self, after: int | None) -> bool:
        """Whether the list's index is another than `after`."""
        return after != self.index

    def response_body(self, after: int | None) -> bytes:
        """The body of a response to a poll: the whole list, or the latest state of each changed entry."""
        body = self.bodies.get(after)
        if body is None:
            body = self._encode_body(after)
            if len(self.bodies) < MAX_CACHED_BODIES:
                self.bodies[after] = body
        return body

    def _encode_body(self, after: int | None) -> bytes:
        oldest = self.index - len(self.changes)
        is_snapshot = after is None or not oldest <= after <= self.index
        entries = self.entries if after is None or is_snapshot else self._changed_since(after)
        message = {"index": self.index, "snapshot": is_snapshot, "endpoints": list(entries.values())}
        return orjson.dumps(message)

    def _changed_since(self, after: int) -> dict[str, Entry]:
        return {entry["name"]: entry for index, entries in self.changes if index > after for entry in entries}
