"""A sample, which is the outcome of one measurement."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram


@dataclass(slots=True, frozen=True)
class Sample:
    """The metrics and histograms of one measurement."""

    # by name, whose suffix is the unit
    metrics: Mapping[str, float]
    # by name, in microseconds
    histograms: Mapping[str, HdrHistogram] = field(default_factory=dict)
