"""A sample, which is the outcome of one measurement."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram


@dataclass(slots=True)
class Sample:
    """The metrics and histograms of one measurement."""

    # by name, whose suffix is the unit
    metrics: dict[str, float]
    # by name, in microseconds
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)
