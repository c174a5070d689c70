"""The ring of weighted virtual nodes, as a structure in which a change costs what it changes.

A consistent-hashing ring: each member has a number of points, a key belongs to the first point clockwise.
Points lie in buckets by the leading bits of their position, a few dozen in each, as hashes are spread evenly:
a member that comes or goes touches its own points alone, however many others there are. A point is one
integer (position, member, rank), so that a bucket is a plain sorted list. docs/list-changes.md has figures.
"""

from __future__ import annotations

import hashlib
import math
import struct
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member")

BITS = 64  # of a position
SLOT_BITS, RANK_BITS = 24, 16  # of a point, behind its position: which member's, and which of its points
BELOW = SLOT_BITS + RANK_BITS
FILL = (
    32  # points of a bucket, about: twice as many or a quarter make a new layout, with less or more buckets
)


def ring_hash(text: str) -> tuple[int, ...]:
    """Eight positions on the ring, each of 0 to 2^64 - 1: a key takes the first, a member all of them."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(name: str, count: int) -> tuple[int, ...]:
    """The first positions of a member; more weight adds to them and moves none."""
    return tuple(p for j in range(math.ceil(count / 8)) for p in ring_hash(f"{name}-vnode-{j}"))[:count]


class Ring(Generic[Member]):
    """Points of named members in clockwise order.

    Where points lie follows from names and counts alone, not from the order in which members came: rings
    with the same members agree on every key.
    """

    def __init__(self) -> None:
        self.size = 0  # points
        self.buckets: list[list[int]] = [[]]  # as many as a power of two
        self.shift = BITS  # of a position, that leaves its bucket's number
        self.counts: dict[str, int] = {}
        self.slots: dict[str, int] = {}
        self.members: list[tuple[Member, int] | None] = []  # at their slots, with the number of their points
        self.free: list[int] = []  # slots of members that have left

    def place(self, name: str, member: Member, count: int) -> None:
        """Give a member `count` points in place of those it has, none to take it off; O(count).

        A name that has so many already keeps the member that it came with.
        """
        before = self.counts.get(name, 0)
        if before == count:
            return
        if not before:
            if not self.free:
                self.free.append(len(self.members))
                self.members.append(None)
            self.slots[name] = self.free.pop()
        slot = self.slots[name]
        positions = virtual_nodes(name, max(before, count))
        for rank in range(count, before):
            bucket, point = self._point(positions[rank], slot, rank)
            del bucket[bisect_left(bucket, point)]
        for rank in range(before, count):
            insort(*self._point(positions[rank], slot, rank))
        self.size += count - before
        if count:
            self.counts[name], self.members[slot] = count, (member, count)
        else:
            del self.counts[name], self.slots[name]
            self.members[slot] = None
            self.free.append(slot)
        if not FILL / 4 <= self.size / len(self.buckets) <= FILL * 2:
            self._lay_out()

    def _point(self, position: int, slot: int, rank: int) -> tuple[list[int], int]:
        """A point, and the bucket in which it lies."""
        return self.buckets[position >> self.shift], position << BELOW | slot << RANK_BITS | rank

    def _lay_out(self) -> None:
        """Lay the points into as many buckets as their number wants; rare, and O(points)."""
        points = [point for bucket in self.buckets for point in bucket]
        bits = max(0, (len(points) // FILL).bit_length() - 1)
        if len(self.buckets) == 1 << bits:
            return
        self.shift = BITS - bits
        self.buckets = [[] for _ in range(1 << bits)]
        for point in points:  # in order
            self.buckets[point >> BELOW + self.shift].append(point)

    def walk(self, position: int) -> Iterator[tuple[Member, float]]:
        """Every point's member once around, clockwise from a position, with the point's rank among its own.

        Ranks lie evenly between 0 and 1: those below a share make up that share of a member's points.
        """
        first = position >> self.shift
        start = bisect_left(self.buckets[first], position << BELOW)
        for step in range(len(self.buckets) + 1):
            bucket = self.buckets[(first + step) % len(self.buckets)]
            last = step == len(self.buckets)
            for i in range(0 if step else start, start if last else len(bucket)):
                member, count = self._owner(bucket[i])
                yield member, ((bucket[i] & (1 << RANK_BITS) - 1) + 0.5) / count

    def _owner(self, point: int) -> tuple[Member, int]:
        owner = self.members[point >> RANK_BITS & (1 << SLOT_BITS) - 1]
        assert owner is not None
        return owner

    def points(self) -> Iterator[tuple[int, Member]]:
        """Each position with its member, in order."""
        for bucket in self.buckets:
            for point in bucket:
                yield point >> BELOW, self._owner(point)[0]

    def __len__(self) -> int:
        return self.size
