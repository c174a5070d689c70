"""Endpoint lists in discovery's form, and sequences of changes of one entry each."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import numpy as np
import orjson

DEFAULT_ZONES = 51
DEFAULT_WEIGHT = 1.0
CHANGES = ("drain", "gone", "join", "restart", "weight")


def build_entries(caches: int, zones: int, weight: float, rng: np.random.Generator) -> list[dict[str, Any]]:
    """A list's entries in discovery's form, the origin last."""
    names = rng.choice(2**32, size=caches + 1, replace=False)
    return [
        {
            "name": f"s-{name:08x}",
            "address": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:6379",
            "zone": f"z{i % zones}",
            "type": "std-1c" if i < caches else "origin",
            "group": i % 4,
            "status": "in_service",
            "weight": weight,
            "since_ms": 0,
        }
        for i, name in enumerate(names.tolist())
    ]


def encode_message(index: int, whole: bool, entries: Sequence[dict[str, Any]]) -> bytes:
    """A list or its changes as discovery words them."""
    return orjson.dumps({"index": index, "snapshot": whole, "endpoints": entries})


class ChangeSequence:
    """Messages that change one entry each; after every five sorts the list is as it was."""

    def __init__(self, entries: Sequence[dict[str, Any]], rng: np.random.Generator, rounds: int) -> None:
        self.rng = rng
        self.entries = entries[:-1]  # never the origin
        self.rounds = rounds
        self.index = 1
        self.restarts = 0

    def __iter__(self) -> Iterator[tuple[str | None, bytes]]:
        """The sort of each change, None for those that only undo one, and its text."""
        for _ in range(self.rounds):
            for sort in CHANGES:
                entry = self.entries[int(self.rng.integers(len(self.entries)))]
                if sort == "drain":
                    yield sort, self._message(entry, status="terminating")
                    yield None, self._message(entry)
                elif sort == "weight":
                    yield sort, self._message(entry, weight=entry["weight"] / 2)
                    yield None, self._message(entry)
                elif sort == "restart":
                    self.restarts += 1
                    yield sort, self._message(entry, since_ms=self.restarts)
                elif sort == "gone":
                    gone = entry
                    yield sort, self._message(entry, status="terminated")
                else:
                    yield sort, self._message(gone)

    def _message(self, entry: dict[str, Any], **other: Any) -> bytes:
        self.index += 1
        return encode_message(self.index, False, [{**entry, **other}])
