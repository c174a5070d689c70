"""Updates of the hash ring: the order has no effect on the result, and removed members leave no state."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from cache_router.decisions.hash_ring import POINTS_PER_BUCKET, HashRing
from cache_router.endpoint import Endpoint
from tests.support.router_inputs import entry


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 90)), max_size=60), st.integers(0, 2**64 - 1))
def test_rings_of_equal_members_are_equal_after_any_updates(
    updates: list[tuple[int, int]], position: int
) -> None:
    """Routers that received different sequences of updates must map each key to the same server."""
    ring: HashRing[str] = HashRing()
    for member, count in updates:
        ring.place(f"m{member}", f"m{member}", count)
    counts = {f"m{member}": count for member, count in updates}
    other: HashRing[str] = HashRing()
    for name in sorted(counts):
        other.place(name, name, counts[name])
    points = list(ring.points())
    assert points == list(other.points())
    assert len(points) == ring.size == sum(counts.values())
    assert points == sorted(points)
    around = [p for p in points if p[0] >= position] + [p for p in points if p[0] < position]
    walked = list(ring.walk(position))
    assert [m for m, _ in walked] == [m for _, m in around]
    assert walked == list(other.walk(position))
    for name, count in counts.items():
        ranks = sorted(rank for m, rank in walked if m == name)
        assert ranks == [(j + 0.5) / count for j in range(count)]


def test_bucket_count_follows_the_number_of_points() -> None:
    """Buckets of bounded size keep the cost of an update from growing with the ring."""
    ring: HashRing[int] = HashRing()
    for n in range(300):
        ring.place(f"m{n}", n, 128)
        assert POINTS_PER_BUCKET / 8 <= ring.size / len(ring._buckets) <= POINTS_PER_BUCKET * 8
    for n in range(300):
        ring.place(f"m{n}", n, 0)
    assert ring._buckets == [[]]
    assert not ring._counts
    assert not ring._slots
    assert ring._members.count(None) == len(ring._free_slots) == 300
    ring.place("again", 1, 8)
    assert len(ring._members) == 300
    assert len(list(ring.walk(0))) == 8


def test_restarted_member_replaces_its_former_entry() -> None:
    """The ring keeps no reference to the earlier incarnation of a server."""
    ring: HashRing[Endpoint] = HashRing()
    old = entry("a")
    ring.place("a", old, 16)
    ring.place("a", old, 0)
    ring.place("a", replace(old, started_at=1.0), 16)
    assert {m.started_at for m, _ in ring.walk(0)} == {1.0}
