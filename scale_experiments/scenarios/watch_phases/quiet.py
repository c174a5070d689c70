"""Cost of watches in the quiet phase, in which the endpoint list does not change."""

from __future__ import annotations

import time

from pydantic import Field

from scale_experiments.routers.watch_fleet import WatchFleet
from scale_experiments.runs.metrics import Bytes, BytesPerSecond, Count, Metrics, PerSecond, Seconds, Share
from scale_experiments.scenarios.watch_phases.distribution import peak_polls


class QuietMetrics(Metrics):
    """Resource usage of discovery and of the routers in the quiet phase."""

    calls_per_s: PerSecond = Field(description="polls at discovery, quiet phase")
    connections_per_s: PerSecond = Field(description="connections opened to discovery, quiet phase")
    peak_calls_per_100ms: Count = Field(
        description="polls at discovery in the busiest tenth of a second of the quiet phase"
    )
    calls_per_router_per_s: PerSecond = Field(description="polls per router, quiet phase")
    discovery_cpu_share: Share = Field(
        description="cores that all discovery processes use together, quiet phase"
    )
    discovery_cpu_per_router_share: Share = Field(
        description="cores that discovery uses per router, quiet phase"
    )
    discovery_cpu_per_call_s: Seconds = Field(description="CPU seconds of discovery per poll, quiet phase")
    discovery_in_per_router_bytes_per_s: BytesPerSecond = Field(
        description="HTTP bytes to discovery per router, quiet phase"
    )
    discovery_out_per_router_bytes_per_s: BytesPerSecond = Field(
        description="HTTP bytes from discovery per router, quiet phase"
    )
    discovery_resident_bytes: Bytes = Field(
        description="resident memory of all discovery processes while all routers watch"
    )
    discovery_descriptors: Count = Field(
        description="open descriptors of all discovery processes while all routers watch"
    )
    real_cpu_share: Share = Field(description="cores that one real router uses, quiet phase")
    real_resident_bytes: Bytes = Field(
        description="resident memory of the process of the real routers, per router"
    )
    light_cpu_share: Share | None = Field(None, description="cores that one light router uses, quiet phase")


def measure_quiet(fleet: WatchFleet, quiet_s: float) -> QuietMetrics:
    """Measure the watches for `quiet_s` seconds without a change."""
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
