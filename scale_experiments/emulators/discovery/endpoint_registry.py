"""The endpoint list of an emulated discovery, and a bounded log of its changes; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import orjson

CHANGE_LOG_LENGTH = 1024  # number of changes; a poll with an older index gets the complete list
MAX_CACHED_BODIES = 256  # number of encoded responses kept under the current index
Entry = Mapping[str, Any]  # entry of the endpoint list, in discovery's JSON format


class EndpointRegistry:
    """The endpoint list under its current index, and its latest `log_length` changes."""

    def __init__(self, log_length: int = CHANGE_LOG_LENGTH) -> None:
        self._index = 0
        self._entries: dict[str, Entry] = {}  # current entries by name
        # the index of each change and its entries
        self._changes: deque[tuple[int, Sequence[Entry]]] = deque(maxlen=log_length)
        # encoded responses under the current index, by the index in the poll
        self._cached_bodies: dict[int | None, bytes] = {}

    @property
    def index(self) -> int:
        """Index of the latest change or complete list."""
        return self._index

    def replace(self, index: int, entries: Iterable[Entry]) -> None:
        """Replace the list and clear the log; a poll with an earlier index gets the complete list."""
        self._index = index
        self._entries = {e["name"]: e for e in entries}
        self._changes.clear()
        self._cached_bodies.clear()

    def change(self, index: int, entries: Sequence[Entry]) -> None:
        """Apply changed entries; terminated ones are removed from the list.

        Raises:
            ValueError: `index` does not follow the current index.
        """
        if index != self._index + 1:
            raise ValueError(f"change {index} does not follow {self._index}")
        self._index = index
        for entry in entries:
            if entry["status"] == "terminated":
                self._entries.pop(entry["name"], None)
            else:
                self._entries[entry["name"]] = entry
        self._changes.append((index, entries))
        self._cached_bodies.clear()

    def has_update(self, after: int | None) -> bool:
        """Return whether the current index differs from `after`, the index in a poll."""
        return after != self._index

    def response_body(self, after: int | None) -> bytes:
        """Return the response to a poll: the entries changed since the index `after`, or the complete list.

        The list is complete if the poll has no index, or one that the log of changes does not cover.
        """
        body = self._cached_bodies.get(after)
        if body is None:
            body = self._encode_body(after)
            if len(self._cached_bodies) < MAX_CACHED_BODIES:
                self._cached_bodies[after] = body
        return body

    def _encode_body(self, after: int | None) -> bytes:
        oldest = self._index - len(self._changes)
        is_snapshot = after is None or not oldest <= after <= self._index
        entries = self._entries if after is None or is_snapshot else self._changed_since(after)
        message = {"index": self._index, "snapshot": is_snapshot, "endpoints": list(entries.values())}
        return orjson.dumps(message)

    def _changed_since(self, after: int) -> dict[str, Entry]:
        """Return the latest state of each entry that changed since an index, by name."""
        return {
            entry["name"]: entry for index, entries in self._changes if index > after for entry in entries
        }
