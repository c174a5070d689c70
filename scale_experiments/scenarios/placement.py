"""The price of a separate ring for each group of zones: what is then kept twice, and fetched again.

The routers of a group use only the page caches of their group: a cache meets a part of the routers, but each
group keeps copies of its own. Objects are dropped as they were used longest ago; keys are placed by the
decision module's own ring. The fleet is small; what counts is the ratio to one ring for all.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from typing import Annotated, Any

import numpy as np
from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import Endpoint
from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import site_settings

SIZES = ("groups", "skew")
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


def key_popularity(objects: int, skew: float, flat: float) -> np.ndarray[Any, np.dtype[np.float64]]:
    weights: np.ndarray[Any, np.dtype[np.float64]] = (
        np.arange(1, objects + 1, dtype=np.float64) + flat
    ) ** -skew
    shares: np.ndarray[Any, np.dtype[np.float64]] = weights / weights.sum()
    return shares


def expected_hit_share(shares: np.ndarray[Any, np.dtype[np.float64]], kept: int) -> float:
    """Share of hits of one cache that drops what was used longest ago (Che's approximation, 2002)."""
    if kept >= len(shares):
        return 1.0
    low, high = 0.0, 1.0
    while np.sum(-np.expm1(-shares * high)) < kept:
        high *= 2
    for _ in range(60):
        middle = (low + high) / 2
        if np.sum(-np.expm1(-shares * middle)) < kept:
            low = middle
        else:
            high = middle
    return float(np.sum(shares * -np.expm1(-shares * high)))


def objects_for(hit_share: float, kept: int, skew: float, flat: float) -> int:
    """How many objects make a cache of `kept` hit so often, by bisection."""
    low, high = kept, 2 * kept
    while expected_hit_share(key_popularity(high, skew, flat), kept) > hit_share and high < 100 * kept:
        low, high = high, 2 * high
    while high - low > 0.01 * low:
        middle = (low + high) // 2
        if expected_hit_share(key_popularity(middle, skew, flat), kept) > hit_share:
            low = middle
        else:
            high = middle
    return high


def simulate(
    owners: list[int],
    caches: int,
    kept: int,
    shares: np.ndarray[Any, np.dtype[np.float64]],
    *,
    reads: int,
    rng: np.random.Generator,
) -> tuple[float, float]:
    """Share of hits, and reads at the busiest cache over the mean, in the second half of `reads`."""
    contents: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(caches)]
    for key, owner in enumerate(owners):
        if len(contents[owner]) < kept:
            contents[owner][key] = None
            contents[owner].move_to_end(key, last=False)
    received = [0] * caches
    hits = counted = 0
    ranks = np.searchsorted(np.cumsum(shares), rng.random(reads)).tolist()
    half = reads // 2
    for i, rank in enumerate(ranks):
        key = min(rank, len(owners) - 1)
        owner = owners[key]
        cached = contents[owner]
        hit = key in cached
        if hit:
            cached.move_to_end(key)
        else:
            cached[key] = None
            if len(cached) > kept:
                cached.popitem(last=False)
        if i >= half:
            received[owner] += 1
            hits += hit
            counted += 1
    return hits / counted, max(received) * caches / counted


def measure_groups(parameters: Parameters, groups: int, skew: float, objects: int, seed: int) -> list[float]:
    """Share of hits and worst ratio, means over the groups that are run."""
    caches = parameters.caches // groups
    shares = key_popularity(objects, skew, parameters.flat)
    settings = site_settings()
    rng = np.random.default_rng(seed)
    found = []
    for group in range(min(groups, parameters.groups_run)):
        names = [f"s-{group:02x}{i:06x}" for i in range(caches)]
        entries = [Endpoint(name, weight=1.0) for name in names]
        number = {name: i for i, name in enumerate(names)}
        keys = (f"page:{k}" for k in itertools.islice(itertools.count(), objects))
        owners = [number[name] for name in place_keys(settings, entries, keys)]
        reads = int(parameters.rounds * caches * parameters.kept)
        found.append(simulate(owners, caches, parameters.kept, shares, reads=reads, rng=rng))
    return [float(np.mean([f[i] for f in found])) for i in range(2)]


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample: `size` has the groups and the skew of the keys (Zipf's exponent)."""
    groups, skew = int(size["groups"]), float(size["skew"])
    objects = objects_for(
        parameters.pooled_hit_share, parameters.caches * parameters.kept, skew, parameters.flat
    )
    context.progress(f"{objects} objects, one ring")
    pooled, worst = measure_groups(parameters, 1, skew, objects, seed)
    hits = pooled
    if groups > 1 and not context.expired():
        context.progress(f"{objects} objects, {groups} rings")
        hits, worst = measure_groups(parameters, groups, skew, objects, seed)
    if context.expired():
        return
    writes = parameters.write_share / (1 - parameters.write_share)
    met = parameters.target_routers / groups
    yield Sample(
        {
            "objects": objects,
            "groups_run": min(groups, parameters.groups_run),
            "hit_share": hits,
            "pooled_hit_share": pooled,
            "origin_fetch_ratio": (1 - hits) / (1 - pooled),
            "origin_load_ratio": (1 - hits + writes) / (1 - pooled + writes),
            "worst_cache_ratio": worst,
            "target_routers_per_cache": met,
            "target_kept_connections": met
            * min(1.0, parameters.descriptors * groups / parameters.target_caches),
        }
    )
