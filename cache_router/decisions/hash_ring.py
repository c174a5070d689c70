"""A consistent-hash ring of weighted virtual nodes, in which a change costs only what it changes.

Each member has a number of points on the ring, and a key belongs to the first point clockwise of its hash.
Points are kept in buckets by the leading bits of their position, a few dozen in each, as hashes are spread
evenly: a member that comes or goes touches its own points alone, however many others there are. A point is
one integer (position, slot of its member, rank among the member's points), so that a bucket is a plain sorted
list. docs/list-changes.md has figures.
"""

import hashlib
import math
import struct
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member")

POSITION_BITS = 64
SLOT_BITS = 24
RANK_BITS = 16
SUFFIX_BITS = SLOT_BITS + RANK_BITS  # of a point, behind its position
SLOT_MASK = (1 << SLOT_BITS) - 1
RANK_MASK = (1 << RANK_BITS) - 1
POSITIONS_PER_HASH = 8
BUCKET_FILL = 32  # points on average; at twice as many, or a quarter, the number of buckets is changed


def ring_hash(text: str) -> tuple[int, ...]:
    """Eight positions on the ring, each of 0 to 2^64 - 1: a key takes the first, a member all of them."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(name: str, count: int) -> tuple[int, ...]:
    """The first positions of a member; a larger count adds to them and moves none."""
    hashes = range(math.ceil(count / POSITIONS_PER_HASH))
    return tuple(position for i in hashes for position in ring_hash(f"{name}-vnode-{i}"))[:count]


class HashRing(Generic[Member]):
    """Points of named members; where they lie follows from names and counts alone, so that rings agree."""

    def __init__(self) -> None:
        self.size = 0  # points
        self._buckets: list[list[int]] = [[]]  # a power of two of them
        self._shift = POSITION_BITS  # of a position, that leaves its bucket's index
        self._counts: dict[str, int] = {}
        self._slots: dict[str, int] = {}
        self._members: list[tuple[Member, int] | None] = []  # by slot, with the number of their points
        self._free_slots: list[int] = []

    def place(self, name: str, member: Member, count: int) -> None:
        """Give a name `count` points, 0 to remove it; O(count). An unchanged name keeps its member."""
        before = self._counts.get(name, 0)
        if before == count:
            return
        slot = self._slots[name] if before else self._take_slot(name)
        positions = virtual_nodes(name, max(before, count))
        for rank in range(count, before):
            bucket, point = self._locate(positions[rank], slot, rank)
            del bucket[bisect_left(bucket, point)]
        for rank in range(before, count):
            insort(*self._locate(positions[rank], slot, rank))
        self.size += count - before
        if count:
            self._counts[name] = count
            self._members[slot] = member, count
        else:
            self._release_slot(name)
        if not BUCKET_FILL / 4 <= self.size / len(self._buckets) <= BUCKET_FILL * 2:
            self._resize_buckets()

    def walk(self, position: int) -> Iterator[tuple[Member, float]]:
        """Once around clockwise: each point's member, and the point's rank among its own, from 0 to 1."""
        buckets = self._buckets
        first = position >> self._shift
        start = bisect_left(buckets[first], position << SUFFIX_BITS)
        for step in range(len(buckets) + 1):
            bucket = buckets[(first + step) % len(buckets)]
            is_back_at_start = step == len(buckets)
            for i in range(0 if step else start, start if is_back_at_start else len(bucket)):
                member, count = self._owner(bucket[i])
                yield member, ((bucket[i] & RANK_MASK) + 0.5) / count

    def points(self) -> Iterator[tuple[int, Member]]:
        """Each position with its member, in order."""
        for bucket in self._buckets:
            for point in bucket:
                yield point >> SUFFIX_BITS, self._owner(point)[0]

    def _locate(self, position: int, slot: int, rank: int) -> tuple[list[int], int]:
        """The bucket of a point, and the point."""
        bucket = self._buckets[position >> self._shift]
        return bucket, position << SUFFIX_BITS | slot << RANK_BITS | rank

    def _owner(self, point: int) -> tuple[Member, int]:
        owner = self._members[point >> RANK_BITS & SLOT_MASK]
        if owner is None:
            raise LookupError("a point on the ring belongs to no member")
        return owner

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
        """Distribute the points to as many buckets as their number calls for; rare, and O(points)."""
        points = [point for bucket in self._buckets for point in bucket]
        bits = max(0, (len(points) // BUCKET_FILL).bit_length() - 1)
        if len(self._buckets) == 1 << bits:
            return
        self._shift = POSITION_BITS - bits
        self._buckets = [[] for _ in range(1 << bits)]
        for point in points:  # in order
            self._buckets[point >> SUFFIX_BITS + self._shift].append(point)
