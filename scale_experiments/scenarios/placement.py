"""The price of a separate ring for each group of zones: what is then kept twice, and fetched again.

The routers of a group use only the page caches of their group: a cache serves a part of the routers, but each
group caches copies of its own. Caches evict the least recently used object; keys are placed by the decision
module's own ring. The fleet is small; what counts is the ratio to one ring for all.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import numpy as np
from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import Endpoint
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import site_settings

BISECTION_STEPS = 60
MAX_OBJECTS_RATIO = 100  # objects there are at most, over those that the caches hold
OBJECTS_TOLERANCE = 0.01  # share
FloatArray = np.ndarray[Any, np.dtype[np.float64]]

METRICS = {
    "objects": "objects there are, so many that one ring for all would hit as stated",
    "groups_run": "groups that were simulated; they differ only by chance",
    "hit_share": "reads that find their object at a page cache",
    "pooled_hit_share": "the same with one ring for all, of the same objects",
    "origin_fetch_ratio": "fetches from the origin, over those with one ring for all",
    "origin_load_ratio": "fetches and writes at the origin, over those with one ring for all",
    "worst_cache_ratio": "reads at the busiest cache of a group over the mean (hot keys are not spread here)",
    "target_routers_per_cache": "routers that a page cache meets at the target size",
    "target_kept_connections": "connections kept at a page cache there, as descriptors allow (worked out)",
}


class Parameters(BaseModel):
    """What all sizes of an experiment have in common."""

    model_config = ConfigDict(extra="forbid")

    caches: Annotated[int, Field(ge=1)] = 100
    kept: Annotated[int, Field(ge=1)] = 200  # objects in a cache
    pooled_hit_share: Annotated[float, Field(gt=0.1, lt=1)] = 0.9
    flat: Annotated[float, Field(ge=0)] = 10.0
    write_share: Annotated[float, Field(ge=0, lt=1)] = 0.03
    rounds: Annotated[float, Field(gt=0)] = 8.0  # reads of a group, over the objects that it keeps
    groups_run: Annotated[int, Field(ge=1)] = 4
    target_routers: Annotated[int, Field(ge=1)] = 7100
    target_caches: Annotated[int, Field(ge=1)] = 840
    descriptors: Annotated[int, Field(ge=1)] = 372


class Size(BaseModel):
    """The columns of a size."""

    groups: WholeNumber = Field(description="groups of zones, each with a ring of its own")
    skew: float = Field(description="exponent of the popularity of keys (Zipf's law)")


def key_popularity(objects: int, skew: float, flat: float) -> FloatArray:
    """The share of reads of each object by rank: Zipf's law with exponent `skew`, ranks moved by `flat`."""
    weights: FloatArray = (np.arange(1, objects + 1, dtype=np.float64) + flat) ** -skew
    shares: FloatArray = weights / weights.sum()
    return shares


def expected_hit_share(shares: FloatArray, capacity: int) -> float:
    """Share of hits of one least-recently-used cache of so many objects (Che's approximation, 2002)."""
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


def objects_for(hit_share: float, capacity: int, skew: float, flat: float) -> int:
    """How many objects there are for a cache of `capacity` objects to hit so often, by bisection."""

    def hits_more_often(objects: int) -> bool:
        return expected_hit_share(key_popularity(objects, skew, flat), capacity) > hit_share

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
    """What reads met on one ring."""

    hit_share: float
    worst_cache_ratio: float  # reads at the busiest cache over the mean


class LeastRecentlyUsedCaches:
    """The caches of one ring, each with the most popular of its keys at first."""

    def __init__(self, owners: Sequence[int], caches: int, capacity: int) -> None:
        self.owners = owners  # the number of the cache of each key, by rank
        self.capacity = capacity
        # of each cache, the key used last at the end
        self.contents: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(caches)]
        for key, owner in enumerate(owners):
            if len(self.contents[owner]) < capacity:
                self.contents[owner][key] = None
                self.contents[owner].move_to_end(key, last=False)

    def read(self, key: int) -> bool:
        """Whether its cache has a key; afterwards it has it."""
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
    """What the second half of so many reads meets."""
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


def measure_groups(parameters: Parameters, groups: int, skew: float, objects: int, seed: int) -> RingResult:
    """Means over the groups that are run."""
    caches = parameters.caches // groups
    shares = key_popularity(objects, skew, parameters.flat)
    reads = int(parameters.rounds * caches * parameters.kept)
    rng = np.random.default_rng(seed)
    results = []
    for group in range(min(groups, parameters.groups_run)):
        owners = place_on_group(group, caches, objects)
        results.append(simulate(owners, caches, parameters.kept, shares, reads=reads, rng=rng))
    return RingResult(
        float(np.mean([result.hit_share for result in results])),
        float(np.mean([result.worst_cache_ratio for result in results])),
    )


def place_on_group(group: int, caches: int, objects: int) -> list[int]:
    """The number of the cache, among those of a group, that the ring gives each key to, by rank."""
    names = [f"s-{group:02x}{number:06x}" for number in range(caches)]
    endpoints = [Endpoint(name, weight=1.0) for name in names]
    numbers = {name: number for number, name in enumerate(names)}
    keys = (f"page:{rank}" for rank in range(objects))
    return [numbers[name] for name in place_keys(site_settings(), endpoints, keys)]


def compute_metrics(
    parameters: Parameters, groups: int, objects: int, pooled: RingResult, grouped: RingResult
) -> dict[str, float]:
    """Metrics of rings by group, against one ring for all."""
    writes = parameters.write_share / (1 - parameters.write_share)
    misses, pooled_misses = 1 - grouped.hit_share, 1 - pooled.hit_share
    met = parameters.target_routers / groups
    kept_share = min(1.0, parameters.descriptors * groups / parameters.target_caches)
    return {
        "objects": objects,
        "groups_run": min(groups, parameters.groups_run),
        "hit_share": grouped.hit_share,
        "pooled_hit_share": pooled.hit_share,
        "origin_fetch_ratio": misses / pooled_misses,
        "origin_load_ratio": (misses + writes) / (pooled_misses + writes),
        "worst_cache_ratio": grouped.worst_cache_ratio,
        "target_routers_per_cache": met,
        "target_kept_connections": met * kept_share,
    }


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    groups, skew = size.groups, size.skew
    capacity = parameters.caches * parameters.kept
    objects = objects_for(parameters.pooled_hit_share, capacity, skew, parameters.flat)
    context.progress(f"{objects} objects, one ring")
    pooled = measure_groups(parameters, 1, skew, objects, seed)
    grouped = pooled
    if groups > 1 and not context.expired():
        context.progress(f"{objects} objects, {groups} rings")
        grouped = measure_groups(parameters, groups, skew, objects, seed)
    if not context.expired():
        yield Sample(compute_metrics(parameters, groups, objects, pooled, grouped))


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
