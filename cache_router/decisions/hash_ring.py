"""A consistent-hash ring of weighted virtual nodes; the cost of a change depends on that change alone.

Each member has a number of points on the ring, and a key belongs to the first point clockwise of its hash.
Points are kept in buckets by the leading bits of their position. Hashes are spread evenly, so that each
bucket has a few dozen points, and a member that joins or leaves touches its own points alone. A point is one
integer (position, slot of its member, rank among the member's points), so that a bucket is a plain sorted
list. docs/list-changes.md has figures.
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
SUFFIX_BITS = SLOT_BITS + RANK_BITS  # of a point, behind its position
SLOT_MASK = (1 << SLOT_BITS) - 1
RANK_MASK = (1 << RANK_BITS) - 1
POSITIONS_PER_HASH = 8
BUCKET_FILL = 32  # points on average; at more than twice as many, or less than a quarter, buckets are resized


def ring_hash(text: str) -> tuple[int, ...]:
    """Eight positions on the ring, each from 0 to 2^64 - 1; a key uses the first, a member all of them.

    They are the big-endian 64-bit words of the BLAKE2b-512 digest of the text in UTF-8.
    """
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(name: str, count: int) -> tuple[int, ...]:
    """The first positions of a member; a larger count adds to them and moves none."""
    hash_count = math.ceil(count / POSITIONS_PER_HASH)
    return tuple(position for i in range(hash_count) for position in ring_hash(f"{name}-vnode-{i}"))[:count]


def member_points(name: str, slot: int, count: int) -> list[int]:
    """The first points of a member, in the order of their ranks; points compare by position."""
    suffix = slot << RANK_BITS
    positions = virtual_nodes(name, count)
    return [position << SUFFIX_BITS | suffix | rank for rank, position in enumerate(positions)]


@dataclass(slots=True, frozen=True)
class PlacedMember(Generic[Member]):
    """A member on the ring, with the number of its points."""

    member: Member
    point_count: int


class HashRing(Generic[Member]):
    """Points of named members. Positions follow from names and counts alone, so that all routers agree."""

    def __init__(self) -> None:
        self.size = 0  # points
        self._buckets: list[list[int]] = [[]]  # their number is a power of two
        self._shift = POSITION_BITS  # shifted right by it, a position gives the index of its bucket
        self._counts: dict[str, int] = {}  # points of each name
        self._slots: dict[str, int] = {}
        self._members: list[PlacedMember[Member] | None] = []  # by slot
        self._free_slots: list[int] = []

    def place(self, name: str, member: Member, count: int) -> None:
        """Give a name `count` points, 0 to remove it; O(count).

        A name that has `count` points already keeps its member.
        """
        before = self._counts.get(name, 0)
        if before == count:
            return
        slot = self._slots[name] if before else self._take_slot(name)
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
        if not BUCKET_FILL / 4 <= self.size / len(self._buckets) <= BUCKET_FILL * 2:
            self._resize_buckets()

    def walk(self, position: int) -> Iterator[tuple[Member, float]]:
        """Go clockwise once around the ring from a position.

        Yields the member of each point, and the point's rank among the member's points, scaled to between 0
        and 1: a share s of a member's points are those with a rank of at most s. The pairs are plain tuples
        because the walk runs on every request.

        Raises:
            LookupError: a point belongs to no member, a fault of this class.
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
        """Each position with its member, in order."""
        for bucket in self._buckets:
            for point in bucket:
                yield point >> SUFFIX_BITS, self._placed_member(point).member

    def _bucket_of(self, point: int) -> list[int]:
        return self._buckets[point >> SUFFIX_BITS + self._shift]

    def _placed_member(self, point: int) -> PlacedMember[Member]:
        placed = self._members[point >> RANK_BITS & SLOT_MASK]
        if placed is None:
            raise LookupError("a point on the ring belongs to no member")
        return placed

    def _take_slot(self, name: str) -> int:
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
        """Adapt the number of buckets to the number of points; rare, and O(points)."""
        points = [point for bucket in self._buckets for point in bucket]
        bits = max(0, (len(points) // BUCKET_FILL).bit_length() - 1)
        if len(self._buckets) == 1 << bits:
            return
        self._shift = POSITION_BITS - bits
        self._buckets = [[] for _ in range(1 << bits)]
        for point in points:  # in ascending order, so that each bucket is sorted
            self._bucket_of(point).append(point)
