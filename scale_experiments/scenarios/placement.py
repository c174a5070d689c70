"""Hash rings by group of zones, compared with one ring for all cache servers.

The routers of a group use only the caches of their group. Fewer routers then connect to each cache, but each
group fetches and caches its own copies of objects. Caches evict the least recently used object. Keys are
assigned to caches by the hash ring of the decision module. The fleet is small, because only the ratio to one
ring for all caches is of interest.
"""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.metrics import Count, Metrics, Ratio, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.ring_caching.popularity import key_popularity, objects_for
from scale_experiments.scenarios.ring_caching.simulation import RingResult, place_on_group, simulate


class PlacementMetrics(Metrics):
    """Metrics of rings by group, compared with one ring for all caches."""

    objects: Count = Field(
        description="distinct objects; as many as give one ring for all the hit share of the parameters"
    )
    groups_run: Count = Field(description="groups that were simulated; they differ only by random variation")
    hit_share: Share = Field(description="share of reads that find their object at a cache server")
    pooled_hit_share: Share = Field(description="hit share with one ring for all caches and the same objects")
    origin_fetch_ratio: Ratio = Field(description="fetches from the origin, over those with one ring for all")
    origin_load_ratio: Ratio = Field(
        description="fetches and writes at the origin, over those with one ring for all"
    )
    worst_cache_ratio: Ratio = Field(
        description="reads at the busiest cache of a group over the mean (hot keys are not spread here)"
    )
    target_routers_per_cache: Count = Field(
        description="routers that connect to a cache server at the target size (calculated)"
    )
    target_kept_connections: Count = Field(
        description="open connections at a cache server at that size, limited by descriptors (calculated)"
    )


class Parameters(BaseModel):
    """The parameters that all sizes of an experiment share; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    caches: int = Field(100, ge=1, description="cache servers of all groups together")
    cached_objects: int = Field(200, alias="kept", ge=1, description="objects that a cache can hold")
    pooled_hit_share: float = Field(0.9, gt=0.1, lt=1, description="hit share of one ring for all")
    rank_offset: float = Field(
        10.0,
        alias="flat",
        ge=0,
        description="number added to the rank of each key; makes their popularity more even",
    )
    write_share: float = Field(0.03, ge=0, lt=1, description="share of requests that write")
    rounds: float = Field(8.0, gt=0, description="reads of a group over the objects that its caches can hold")
    groups_run: int = Field(4, ge=1, description="maximum number of groups that are simulated")
    target_routers: int = Field(7100, ge=1, description="routers of the planned fleet")
    target_caches: int = Field(840, ge=1, description="cache servers of the planned fleet")
    descriptors: int = Field(
        372, ge=1, description="descriptors of a router of the planned fleet for connections to caches"
    )


class Size(BaseModel):
    """The columns of one size of an experiment; aliases are the keys."""

    groups: WholeNumber = Field(description="groups of zones, each with a ring of its own")
    zipf_exponent: float = Field(alias="skew", description="exponent of the popularity of keys (Zipf's law)")


def measure_groups(
    parameters: Parameters, groups: int, zipf_exponent: float, objects: int, seed: int
) -> RingResult:
    """Simulate the caches of some groups; return the means over these groups."""
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


def compute_metrics(
    parameters: Parameters, groups: int, objects: int, pooled: RingResult, grouped: RingResult
) -> PlacementMetrics:
    """Return the metrics of rings by group, compared with one ring for all."""
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
    """Yield one sample, or none if the time limit passes first."""
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
