"""A consistent-hash ring of weighted virtual nodes, with changes whose cost does not grow with the ring.

Each member has a number of points (virtual nodes) on the ring, and a key belongs to the first point clockwise
of its hash. The points are kept in buckets by the leading bits of their position. Hashes are uniformly
distributed, so that each bucket has a few dozen points, and adding or removing a member changes only the
buckets of its own points. A point is a single integer that packs its position, the slot of its member and its
rank among the member's points, so that a bucket is a sorted list of integers. Measurements are in
docs/list-changes.md.
"""

import hashlib
import math
import struct
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Member = TypeVar("Member")

POSITION_BITS = 64
SLOT_BITS = 24
RANK_BITS = 16
SUFFIX_BITS = SLOT_BITS + RANK_BITS  # low-order bits of a point, below its position
SLOT_MASK = (1 << SLOT_BITS) - 1
RANK_MASK = (1 << RANK_BITS) - 1
POSITIONS_PER_HASH = 8
# Intended mean number of points in a bucket. Above twice this number, or below a quarter of it, the number of
# buckets is adapted.
POINTS_PER_BUCKET = 32


def ring_hash(text: str) -> tuple[int, ...]:
    """Hash a text to eight positions on the ring, each from 0 to 2^64 - 1.

    They are the big-endian 64-bit words of the BLAKE2b-512 digest of the text in UTF-8. A key uses the first
    one, the virtual nodes of a member use all of them.
    """
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(name: str, count: int) -> tuple[int, ...]:
    """Return the first `count` positions of a member; a larger count only appends positions."""
    hash_count = math.ceil(count / POSITIONS_PER_HASH)
    return tuple(position for i in range(hash_count) for position in ring_hash(f"{name}-vnode-{i}"))[:count]


def member_points(name: str, slot: int, count: int) -> list[int]:
    """Return the first `count` points of a member, ordered by rank; as integers, points sort by position."""
    suffix = slot << RANK_BITS
    positions = virtual_nodes(name, count)
    return [position << SUFFIX_BITS | suffix | rank for rank, position in enumerate(positions)]


@dataclass(slots=True, frozen=True)
class PlacedMember(Generic[Member]):
    """A member of the ring and the number of its points."""

    member: Member
    point_count: int


class HashRing(Generic[Member]):
    """Points of named members. Positions depend only on names and counts, so that all routers agree."""

    def __init__(self) -> None:
        self.size = 0  # total number of points
        self._buckets: list[list[int]] = [[]]  # the number of buckets is a power of two
        self._shift = POSITION_BITS  # position >> shift is the index of the bucket
        self._counts: dict[str, int] = {}  # number of points by member name
        self._slots: dict[str, int] = {}  # index into `_members` by member name
        self._members: list[PlacedMember[Member] | None] = []  # indexed by slot; None where the slot is free
        self._free_slots: list[int] = []

    def place(self, name: str, member: Member, count: int) -> None:
        """Set the number of points of a named member; 0 removes it.

        A name that already has `count` points keeps its present member. The cost is proportional to the
        larger of the former and the new count.
        """
        before = self._counts.get(name, 0)
        if before == count:
            return
        slot = self._slots[name] if before else self._allocate_slot(name)
        points = member_points(name, slot, max(before, count))
        for point in points[count:before]:
            bucket = self._bucket_of(point)
            del bucket[bisect_left(bucket, point)]
        for point in points[before:count]:
            insort(self._bucket_of(point), point)
        self.size += count - before
        if count:
            self._counts[name] = count
            self._members[slot] = PlacedMember(member, count)
        else:
            self._release_slot(name)
        if not POINTS_PER_BUCKET / 4 <= self.size / len(self._buckets) <= POINTS_PER_BUCKET * 2:
            self._resize_buckets()

    def walk(self, position: int) -> Iterator[tuple[Member, float]]:
        """Yield (member, rank) for each point, once clockwise around the ring from a position.

        The rank is that of the point among the member's points, scaled to between 0 and 1: the points with a
        rank of at most s are a share s of the member's points. The pairs are plain tuples because the walk
        runs on every request.

        Raises:
            LookupError: A point belongs to no member, which is a fault of this class.
        """
        buckets = self._buckets
        first = position >> self._shift
        start = bisect_left(buckets[first], position << SUFFIX_BITS)
        for step in range(len(buckets) + 1):
            bucket = buckets[(first + step) % len(buckets)]
            is_back_at_start = step == len(buckets)
            for i in range(0 if step else start, start if is_back_at_start else len(bucket)):
                point = bucket[i]
                placed = self._placed_member(point)
                yield placed.member, ((point & RANK_MASK) + 0.5) / placed.point_count

    def points(self) -> Iterator[tuple[int, Member]]:
        """Yield (position, member) for each point in ascending order of position."""
        for bucket in self._buckets:
            for point in bucket:
                yield point >> SUFFIX_BITS, self._placed_member(point).member

    def _bucket_of(self, point: int) -> list[int]:
        return self._buckets[point >> SUFFIX_BITS + self._shift]

    def _placed_member(self, point: int) -> PlacedMember[Member]:
        placed = self._members[point >> RANK_BITS & SLOT_MASK]
        if placed is None:
            raise LookupError(f"hash ring: the point at position {point >> SUFFIX_BITS} belongs to no member")
        return placed

    def _allocate_slot(self, name: str) -> int:
        if not self._free_slots:
            self._free_slots.append(len(self._members))
            self._members.append(None)
        self._slots[name] = self._free_slots.pop()
        return self._slots[name]

    def _release_slot(self, name: str) -> None:
        del self._counts[name]
        slot = self._slots.pop(name)
        self._members[slot] = None
        self._free_slots.append(slot)

    def _resize_buckets(self) -> None:
        """Adapt the number of buckets to the number of points; this is rare and takes O(points) time."""
        points = [point for bucket in self._buckets for point in bucket]
        bits = max(0, (len(points) // POINTS_PER_BUCKET).bit_length() - 1)
        if len(self._buckets) == 1 << bits:
            return
        self._shift = POSITION_BITS - bits
        self._buckets = [[] for _ in range(1 << bits)]
        for point in points:  # ascending, so that appending keeps each bucket sorted
            self._bucket_of(point).append(point)
