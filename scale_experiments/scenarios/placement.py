"""The cost of a separate ring for each group of zones: each group fetches and caches objects for itself.

The routers of a group use only the page caches of their group: fewer routers connect to a cache, but each
group caches copies of its own. Caches evict the least recently used object; the decision module's own ring
places the keys. The fleet is small, because only the ratio to one ring for all caches is of interest.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import Endpoint
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.metrics import Count, Metrics, Ratio, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import site_settings

BISECTION_STEPS = 60
MAX_OBJECTS_RATIO = 100  # the most objects that are tried, over those that the caches hold
OBJECTS_TOLERANCE = 0.01  # share of the number of objects, at which the bisection ends
FloatArray = np.ndarray[Any, np.dtype[np.float64]]


class PlacementMetrics(Metrics):
    """Rings by group, compared with one ring for all caches."""

    objects: Count = Field(description="objects there are, so many that one ring for all would hit as stated")
    groups_run: Count = Field(description="groups that were simulated; they differ only by chance")
    hit_share: Share = Field(description="reads that find their object at a page cache")
    pooled_hit_share: Share = Field(description="the same with one ring for all, of the same objects")
    origin_fetch_ratio: Ratio = Field(description="fetches from the origin, over those with one ring for all")
    origin_load_ratio: Ratio = Field(
        description="fetches and writes at the origin, over those with one ring for all"
    )
    worst_cache_ratio: Ratio = Field(
        description="reads at the busiest cache of a group over the mean (hot keys are not spread here)"
    )
    target_routers_per_cache: Count = Field(description="routers that a page cache meets at the target size")
    target_kept_connections: Count = Field(
        description="connections kept at a page cache there, as descriptors allow (worked out)"
    )


class Parameters(BaseModel):
    """What all sizes of an experiment have in common; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    caches: int = Field(100, ge=1, description="page caches of all groups")
    cached_objects: int = Field(200, alias="kept", ge=1, description="objects that a cache holds")
    pooled_hit_share: float = Field(0.9, gt=0.1, lt=1, description="hit share that one ring for all has")
    rank_offset: float = Field(
        10.0, alias="flat", ge=0, description="added to the rank of each key; flattens the popularity"
    )
    write_share: float = Field(0.03, ge=0, lt=1, description="share of requests that write")
    rounds: float = Field(8.0, gt=0, description="reads of a group, over the objects that its caches hold")
    groups_run: int = Field(4, ge=1, description="groups that are simulated at most")
    target_routers: int = Field(7100, ge=1, description="routers of the planned fleet")
    target_caches: int = Field(840, ge=1, description="page caches of the planned fleet")
    descriptors: int = Field(372, ge=1, description="file descriptors of a router of the planned fleet")


class Size(BaseModel):
    """The columns of a size; aliases are the keys."""

    groups: WholeNumber = Field(description="groups of zones, each with a ring of its own")
    zipf_exponent: float = Field(alias="skew", description="exponent of the popularity of keys (Zipf's law)")


def key_popularity(objects: int, zipf_exponent: float, rank_offset: float) -> FloatArray:
    """The share of reads of each object by rank, by the Zipf-Mandelbrot law.

    `zipf_exponent` is the exponent, and `rank_offset` is added to each rank.
    """
    weights: FloatArray = (np.arange(1, objects + 1, dtype=np.float64) + rank_offset) ** -zipf_exponent
    shares: FloatArray = weights / weights.sum()
    return shares


def expected_hit_share(shares: FloatArray, capacity: int) -> float:
    """The hit share of one least-recently-used cache that holds `capacity` objects.

    Che, Tung and Wang, "Hierarchical Web Caching Systems" (2002): an object is cached if it was read within
    the characteristic time, in which as many distinct objects are read as the cache holds.
    """
    if capacity >= len(shares):
        return 1.0
    low, high = 0.0, 1.0
    while np.sum(-np.expm1(-shares * high)) < capacity:
        high *= 2
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if np.sum(-np.expm1(-shares * middle)) < capacity:
            low = middle
        else:
            high = middle
    return float(np.sum(shares * -np.expm1(-shares * high)))


def objects_for(hit_share: float, capacity: int, zipf_exponent: float, rank_offset: float) -> int:
    """The number of objects at which a cache of `capacity` objects has a hit share, by bisection."""

    def hits_more_often(objects: int) -> bool:
        return expected_hit_share(key_popularity(objects, zipf_exponent, rank_offset), capacity) > hit_share

    low, high = capacity, 2 * capacity
    while hits_more_often(high) and high < MAX_OBJECTS_RATIO * capacity:
        low, high = high, 2 * high
    while high - low > OBJECTS_TOLERANCE * low:
        middle = (low + high) // 2
        if hits_more_often(middle):
            low = middle
        else:
            high = middle
    return high


@dataclass(slots=True, frozen=True)
class RingResult:
    """How the reads on one ring ended."""

    hit_share: float
    worst_cache_ratio: float  # reads at the busiest cache over the mean


class LeastRecentlyUsedCaches:
    """The caches of one ring; each starts with the most popular of its keys."""

    def __init__(self, owners: Sequence[int], caches: int, capacity: int) -> None:
        self.owners = owners  # the index of the cache of each key, by rank
        self.capacity = capacity
        # by cache, its keys; the most recently used key is the last
        self.contents: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(caches)]
        for key, owner in enumerate(owners):
            if len(self.contents[owner]) < capacity:
                self.contents[owner][key] = None
                self.contents[owner].move_to_end(key, last=False)

    def read(self, key: int) -> bool:
        """Whether the cache of a key holds it; the cache holds it afterwards."""
        cached = self.contents[self.owners[key]]
        if key in cached:
            cached.move_to_end(key)
            return True
        cached[key] = None
        if len(cached) > self.capacity:
            cached.popitem(last=False)
        return False


def simulate(
    owners: Sequence[int],
    caches: int,
    capacity: int,
    shares: FloatArray,
    *,
    reads: int,
    rng: np.random.Generator,
) -> RingResult:
    """Simulate reads; only the second half of them is counted, when the caches have warmed up."""
    ring = LeastRecentlyUsedCaches(owners, caches, capacity)
    received = [0] * caches
    hits = counted = 0
    ranks = np.searchsorted(np.cumsum(shares), rng.random(reads)).tolist()
    for number, rank in enumerate(ranks):
        key = min(rank, len(owners) - 1)
        is_hit = ring.read(key)
        if number >= reads // 2:
            received[owners[key]] += 1
            hits += is_hit
            counted += 1
    return RingResult(hits / counted, max(received) * caches / counted)


def measure_groups(
    parameters: Parameters, groups: int, zipf_exponent: float, objects: int, seed: int
) -> RingResult:
    """The means over the groups that are simulated."""
    caches = parameters.caches // groups
    shares = key_popularity(objects, zipf_exponent, parameters.rank_offset)
    reads = int(parameters.rounds * caches * parameters.cached_objects)
    rng = np.random.default_rng(seed)
    results = []
    for group in range(min(groups, parameters.groups_run)):
        owners = place_on_group(group, caches, objects)
        results.append(simulate(owners, caches, parameters.cached_objects, shares, reads=reads, rng=rng))
    return RingResult(
        float(np.mean([result.hit_share for result in results])),
        float(np.mean([result.worst_cache_ratio for result in results])),
    )


def place_on_group(group: int, caches: int, objects: int) -> list[int]:
    """The index, among the caches of a group, of the cache that the ring assigns to each key, by rank."""
    names = [f"s-{group:02x}{number:06x}" for number in range(caches)]
    endpoints = [Endpoint(name, weight=1.0) for name in names]
    numbers = {name: number for number, name in enumerate(names)}
    keys = (f"page:{rank}" for rank in range(objects))
    return [numbers[name] for name in place_keys(site_settings(), endpoints, keys)]


def compute_metrics(
    parameters: Parameters, groups: int, objects: int, pooled: RingResult, grouped: RingResult
) -> PlacementMetrics:
    """The metrics of rings by group, compared with one ring for all."""
    writes = parameters.write_share / (1 - parameters.write_share)
    misses, pooled_misses = 1 - grouped.hit_share, 1 - pooled.hit_share
    routers_per_cache = parameters.target_routers / groups
    kept_share = min(1.0, parameters.descriptors * groups / parameters.target_caches)
    return PlacementMetrics(
        objects=objects,
        groups_run=min(groups, parameters.groups_run),
        hit_share=grouped.hit_share,
        pooled_hit_share=pooled.hit_share,
        origin_fetch_ratio=misses / pooled_misses,
        origin_load_ratio=(misses + writes) / (pooled_misses + writes),
        worst_cache_ratio=grouped.worst_cache_ratio,
        target_routers_per_cache=routers_per_cache,
        target_kept_connections=routers_per_cache * kept_share,
    )


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    groups, zipf_exponent = size.groups, size.zipf_exponent
    capacity = parameters.caches * parameters.cached_objects
    objects = objects_for(parameters.pooled_hit_share, capacity, zipf_exponent, parameters.rank_offset)
    context.progress(f"{objects} objects, one ring")
    pooled = measure_groups(parameters, 1, zipf_exponent, objects, seed)
    grouped = pooled
    if groups > 1 and not context.expired():
        context.progress(f"{objects} objects, {groups} rings")
        grouped = measure_groups(parameters, groups, zipf_exponent, objects, seed)
    if not context.expired():
        yield Sample(compute_metrics(parameters, groups, objects, pooled, grouped).values())


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=PlacementMetrics.descriptions(),
    measure=measure,
)
