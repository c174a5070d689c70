"""Samples, which are the outcomes of measurements."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram


@dataclass(slots=True, frozen=True)
class Sample:
    """The metrics and histograms of one measurement."""

    # values by metric name, whose suffix is the unit
    metrics: Mapping[str, float]
    # histograms by name, of values in microseconds
    histograms: Mapping[str, HdrHistogram] = field(default_factory=dict)
