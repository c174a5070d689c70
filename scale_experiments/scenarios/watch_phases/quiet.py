"""Watches while the list does not change."""

from __future__ import annotations

import time

from pydantic import Field

from scale_experiments.routers.watch_fleet import WatchFleet
from scale_experiments.runs.metrics import Bytes, BytesPerSecond, Count, Metrics, PerSecond, Seconds, Share
from scale_experiments.scenarios.watch_phases.distribution import peak_polls


class QuietMetrics(Metrics):
    """Discovery and routers while the list does not change."""

    calls_per_s: PerSecond = Field(description="calls at discovery, quiet")
    connections_per_s: PerSecond = Field(description="connections opened to discovery, quiet")
    peak_calls_per_100ms: Count = Field(
        description="calls at discovery in the busiest tenth of a second, quiet"
    )
    calls_per_router_per_s: PerSecond = Field(description="calls of each router, quiet")
    discovery_cpu_share: Share = Field(description="cores that discovery uses in all, quiet")
    discovery_cpu_per_router_share: Share = Field(
        description="cores that discovery uses for each router, quiet"
    )
    discovery_cpu_per_call_s: Seconds = Field(description="CPU seconds of discovery for a call, quiet")
    discovery_in_per_router_bytes_per_s: BytesPerSecond = Field(
        description="bytes of HTTP from each router to discovery, quiet"
    )
    discovery_out_per_router_bytes_per_s: BytesPerSecond = Field(
        description="bytes of HTTP from discovery to each router, quiet"
    )
    discovery_resident_bytes: Bytes = Field(
        description="resident memory of discovery's processes with all watching"
    )
    discovery_descriptors: Count = Field(description="descriptors of discovery's processes with all watching")
    real_cpu_share: Share = Field(description="cores that one real router uses, quiet")
    real_resident_bytes: Bytes = Field(description="resident memory of the process of real routers, for each")
    light_cpu_share: Share | None = Field(None, description="cores that one other router uses, quiet")


def measure_quiet(fleet: WatchFleet, quiet_s: float) -> QuietMetrics:
    """Measure watches for some seconds without a change."""
    before = fleet.usage()
    time.sleep(quiet_s)
    after = fleet.usage()
    used = after.since(before)
    routers, light_routers, seconds = fleet.options.routers, fleet.light_routers, used.at
    return QuietMetrics(
        calls_per_s=used.polls / seconds,
        connections_per_s=used.connections / seconds,
        peak_calls_per_100ms=peak_polls(fleet.polls_since(before.at), 1),
        calls_per_router_per_s=used.polls / seconds / routers,
        discovery_cpu_share=used.cpu_s / seconds,
        discovery_cpu_per_router_share=used.cpu_s / seconds / routers,
        discovery_cpu_per_call_s=used.cpu_s / max(1.0, used.polls),
        discovery_in_per_router_bytes_per_s=used.bytes_in / seconds / routers,
        discovery_out_per_router_bytes_per_s=used.bytes_out / seconds / routers,
        discovery_resident_bytes=after.resident_bytes,
        discovery_descriptors=after.descriptors,
        real_cpu_share=used.real_cpu_s / seconds / fleet.real_routers,
        real_resident_bytes=after.real_resident_bytes / fleet.real_routers,
        light_cpu_share=used.light_cpu_s / seconds / light_routers if light_routers else None,
    )
