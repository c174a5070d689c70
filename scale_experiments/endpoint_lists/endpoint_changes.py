"""Random endpoint lists, and sequences of changes that affect one entry each."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

import numpy as np
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.endpoint_lists.endpoint_entries import (
    CACHE_PORT,
    TERMINATED,
    TERMINATING,
    EndpointEntry,
    build_entry,
    encode_list,
)

DEFAULT_ZONES = 51  # zones of the planned fleet in target.toml
DEFAULT_WEIGHT = 1.0
GROUP_COUNT = 4  # groups over which the servers of a list are spread


class ListChangeSize(BaseModel):
    """The columns of a size in scenarios that change the endpoint list."""

    model_config = ConfigDict(extra="forbid")

    routers: int = Field(
        default=1,
        ge=1,
        le=1_000_000,
        strict=True,
        description="routers of the fleet, as configured in the settings",
    )
    caches: int = Field(
        ge=1, le=100_000, strict=True, description="caches in the endpoint list, without the origin"
    )
    changes_per_s: float = Field(ge=0, description="changes of the endpoint list per second")


class ChangeKind(StrEnum):
    """The kind of a change; the values are parts of metric names."""

    DRAIN = "drain"
    REMOVE = "gone"  # the entry is removed
    JOIN = "join"  # the entry that was removed last is added again
    RESTART = "restart"
    WEIGHT = "weight"  # the weight is halved


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """One changed entry; `kind` is None if the change only undoes the previous one."""

    kind: ChangeKind | None
    index: int
    entry: EndpointEntry

    def encoded(self) -> bytes:
        """Encode the change in discovery's JSON format."""
        return encode_list({"index": self.index, "snapshot": False, "endpoints": [self.entry]})


def build_entries(caches: int, zones: int, weight: float, rng: np.random.Generator) -> list[EndpointEntry]:
    """Build entries of caches with random names, spread over `zones` zones, and of an origin as the last."""
    names = rng.choice(2**32, size=caches + 1, replace=False)
    return [
        build_entry(
            f"s-{name:08x}",
            f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:{CACHE_PORT}",
            zone=f"z{i % zones}",
            server_type="std-1c" if i < caches else "origin",
            group=i % GROUP_COUNT,
            weight=weight,
        )
        for i, name in enumerate(names.tolist())
    ]


class ChangeSequence:
    """Rounds of changes, one of each kind to random entries.

    At the end of a round all changes have been undone, except the start time of a restarted entry.
    """

    def __init__(
        self, entries: Sequence[EndpointEntry], rng: np.random.Generator, rounds: int, first_index: int = 2
    ) -> None:
        self.rng = rng
        self.entries = entries[:-1]  # all but the origin, which never changes
        self.rounds = rounds
        self.next_index = first_index
        self.restarts = 0

    def __iter__(self) -> Iterator[EndpointChange]:
        """Yield the changes in order, each with an index of its own."""
        removed = None
        for _ in range(self.rounds):
            for kind in ChangeKind:
                # JOIN draws an entry too, without using it: otherwise a seed would select other entries
                entry = self.entries[int(self.rng.integers(len(self.entries)))]
                if kind is ChangeKind.REMOVE:
                    removed = entry
                elif kind is ChangeKind.JOIN and removed is not None:
                    entry = removed
                yield from self._change(kind, entry)

    def _change(self, kind: ChangeKind, entry: EndpointEntry) -> Iterator[EndpointChange]:
        """Yield a change of an entry; after a drain or a change of weight, also the change that undoes it."""
        match kind:
            case ChangeKind.DRAIN:
                yield self._next_change(kind, {**entry, "status": TERMINATING})
                yield self._next_change(None, entry)
            case ChangeKind.REMOVE:
                yield self._next_change(kind, {**entry, "status": TERMINATED})
            case ChangeKind.JOIN:
                yield self._next_change(kind, entry)
            case ChangeKind.RESTART:
                self.restarts += 1
                yield self._next_change(kind, {**entry, "since_ms": self.restarts})
            case ChangeKind.WEIGHT:
                yield self._next_change(kind, {**entry, "weight": entry["weight"] / 2})
                yield self._next_change(None, entry)

    def _next_change(self, kind: ChangeKind | None, entry: EndpointEntry) -> EndpointChange:
        index = self.next_index
        self.next_index += 1
        return EndpointChange(kind, index, entry)
