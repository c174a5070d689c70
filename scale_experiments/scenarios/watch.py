"""Endpoint list watches: cost without changes, propagation of a change, and the return of discovery.

Discovery and the routers run in separate processes on loopback. Real routers have no clients, but run the
program's own watch and the dispatcher that stores the list. Light routers send the same polls at the same
times with less work, so that one machine can run thousands of them. CPU time is measured per process. Delays
are wall-clock times, and include waits for the cores of this machine, which all routers share.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from typing import Literal

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.measurement.reference_work import measure_reference_cpu_s
from scale_experiments.routers.watch_fleet import SubscriptionMode, WatchFleet, WatchFleetOptions
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.machine_metrics import MachineMetrics, measure_machine
from scale_experiments.scenarios.watch_phases.changes import (
    ChangeMetrics,
    ChangeSchedule,
    PropagationMetrics,
    measure_changes,
    propagation_metrics,
)
from scale_experiments.scenarios.watch_phases.distribution import delay_histogram
from scale_experiments.scenarios.watch_phases.outage import OUTAGES, Outage, ReturnMetrics, measure_outage
from scale_experiments.scenarios.watch_phases.quiet import QuietMetrics, measure_quiet

MODES: tuple[SubscriptionMode, ...] = ("asked", "pushed")


class Parameters(BaseModel):
    """Parameters that all sizes of an experiment share; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    discoveries: int = Field(
        2, ge=1, le=16, description="number of discovery processes, each with its own address"
    )
    real_routers: int = Field(
        200,
        alias="real",
        ge=1,
        le=2000,
        description="maximum number of real routers, which run the program's own watch in one process",
    )
    hollow_processes: int = Field(
        3, alias="hollows", ge=1, le=32, description="number of processes that run the light routers"
    )
    real_mode: Literal["list", "router"] = Field(
        "list",
        alias="held",
        description="list: a real router only stores the endpoint list; router: it builds the hash ring too",
    )
    zones: int = Field(51, ge=1, le=10_000, description="number of zones over which the caches are spread")
    spread_s: float = Field(
        3.0, ge=0, le=60, description="time over which the starts of the routers are spread"
    )
    quiet_s: float = Field(12.0, gt=0, le=600, description="duration of the phase without changes")
    changes: int = Field(6, ge=1, le=200, description="number of changes, each of one entry")
    change_interval_s: float = Field(
        2.5, alias="change_every_s", gt=0, le=60, description="time from one change to the next"
    )
    outage_s: float = Field(
        10.0, gt=0, le=600, description="duration of an outage, with a change in the middle"
    )
    return_timeout_s: float = Field(
        40.0,
        alias="return_most_s",
        gt=0,
        le=600,
        description="longest wait until all routers have received a change",
    )
    modes: list[SubscriptionMode] = Field(
        list(MODES),
        min_length=1,
        description="asked: routers have to subscribe to the list; pushed: it is pushed to them",
    )
    outages: list[Outage] = Field(
        ["silent", "reset"],
        description="silent: polls are never answered; reset: like silent, and connections are reset at the "
        "end; refuse: connections are refused; busy: polls are answered by 503 after 2 s",
    )


class Size(BaseModel):
    """One size of an experiment."""

    routers: WholeNumber = Field(description="number of routers that watch discovery, real and light")
    caches: WholeNumber = Field(description="number of entries in the endpoint list")


def describe_metrics() -> dict[str, str]:
    """Describe the metrics of a sample; names of return metrics include the mode and the outage."""
    descriptions = {
        **QuietMetrics.descriptions(),
        **ChangeMetrics.descriptions(),
        **PropagationMetrics.descriptions(),
        **MachineMetrics.descriptions(),
    }
    for mode, outage in itertools.product(MODES, OUTAGES):
        prefix = return_prefix(mode, outage)
        for name, meaning in ReturnMetrics.descriptions().items():
            descriptions[f"{prefix}_{name}"] = f"{meaning}; list {mode}, outage {outage}"
    return descriptions


def return_prefix(mode: SubscriptionMode, outage: Outage) -> str:
    """Return the prefix of the names of a return's metrics, which is also the name of its histogram."""
    return f"return_{mode}_{outage}"


def build_fleet(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> WatchFleet:
    """Build the fleet of a size without starting its processes."""
    options = WatchFleetOptions(
        routers=size.routers,
        real_routers=parameters.real_routers,
        hollow_processes=parameters.hollow_processes,
        discoveries=parameters.discoveries,
        caches=size.caches,
        zones=parameters.zones,
        real_mode=parameters.real_mode,
        spread_s=parameters.spread_s,
        seed=seed,
    )
    return WatchFleet(options, context)


class WatchRun:
    """Measures one sample, one mode after the other."""

    def __init__(self, parameters: Parameters, context: ExperimentContext) -> None:
        self.parameters = parameters
        self.context = context
        self.metrics: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def measure_mode(self, mode: SubscriptionMode, fleet: WatchFleet) -> None:
        """Measure the outages of a mode and, in the first mode, also the quiet phase and the changes."""
        self.context.progress(f"list {mode}: start")
        fleet.start(mode)
        if mode == self.parameters.modes[0]:
            self._measure_quiet_and_changes(fleet)
        else:
            fleet.change()
            fleet.wait_until_notified(self.parameters.return_timeout_s)
        for outage in self.parameters.outages:
            self.context.progress(f"list {mode}: outage {outage}")
            self._measure_return(mode, outage, fleet)

    def measure_machine(self, references: Sequence[float]) -> None:
        """Add the metrics of the machine; `references` are the CPU seconds of the reference work."""
        self.metrics |= measure_machine(references).values()

    def _measure_quiet_and_changes(self, fleet: WatchFleet) -> None:
        self.context.progress("quiet")
        self.metrics |= measure_quiet(fleet, self.parameters.quiet_s).values()
        self.context.progress("changes")
        p = self.parameters
        schedule = ChangeSchedule(p.changes, p.change_interval_s, p.return_timeout_s)
        changes = measure_changes(fleet, schedule)
        self.metrics |= changes.costs.values() | propagation_metrics(changes.propagation).values()
        self.histograms["spread"] = delay_histogram(changes.propagation.delays)

    def _measure_return(self, mode: SubscriptionMode, outage: Outage, fleet: WatchFleet) -> None:
        prefix = return_prefix(mode, outage)
        outage_s, timeout_s = self.parameters.outage_s, self.parameters.return_timeout_s
        outcome = measure_outage(fleet, outage, outage_s, timeout_s)
        self.metrics |= {f"{prefix}_{name}": value for name, value in outcome.metrics().values().items()}
        self.histograms[prefix] = delay_histogram(outcome.notification.delays_s)


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample: the quiet phase and changes in the first mode, and the outages in each mode.

    Raises what the methods of `WatchFleet` raise.
    """
    run = WatchRun(parameters, context)
    references = [measure_reference_cpu_s()]
    for mode in parameters.modes:
        fleet = build_fleet(parameters, size, seed, context)
        try:
            run.measure_mode(mode, fleet)
        finally:
            fleet.stop()
    references.append(measure_reference_cpu_s())
    run.measure_machine(references)
    yield Sample(run.metrics, run.histograms)


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=describe_metrics(),
    measure=measure,
)
